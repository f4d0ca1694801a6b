package org.cowslipstair.gateway;

import java.util.Optional;
import org.cowslipstair.model.config.StoreId;

/** Operations of a gateway that the admin port serves. */
public interface AdminOperations {
  /** Returns why the gateway accepts no new calls, or empty if it accepts them. */
  Optional<String> notReadyBecause();

  /** Returns all metrics as Prometheus text. */
  String metrics();

  /** Returns the complete state as a value that Jackson can serialize. */
  Object state();

  /** Returns the decisions made for a call, or empty if none are recorded any more. */
  Optional<Object> explain(String requestId);

  /** Accepts a store that was refused because its identity or revision changed. */
  void acceptStore(StoreId storeId);
}
