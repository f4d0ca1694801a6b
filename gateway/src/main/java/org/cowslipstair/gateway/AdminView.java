package org.cowslipstair.gateway;

import java.util.Optional;
import org.cowslipstair.model.config.StoreId;

/** What the admin port shows of a gateway. */
public interface AdminView {
  /** Returns why the gateway takes no new calls, or empty if it does. */
  Optional<String> notReadyBecause();

  /** Returns all metrics as Prometheus text. */
  String metrics();

  /** Returns the whole state as a value that Jackson can write. */
  Object state();

  /** Returns the decisions made for a call, if they are still kept. */
  Optional<Object> explain(String requestId);

  /** Accepts a store that was refused because its identity or revision changed. */
  void acceptStore(StoreId storeId);
}
