package org.cowslipstair.model.config;

/** A configuration object. */
public sealed interface ConfigObject permits Zone, BackendServer, Service, RoutingRule {
  /** Returns the key of the object in the platform's store. */
  ObjectKey key();

  /** Returns the labels of the object. */
  Labels labels();
}
