package org.cowslipstair.logic.overload.model;

/**
 * Gateways and the backend servers of one service, spread evenly over the zones.
 *
 * @param slots slots of a backend server
 * @param retrySlack sends beyond the first that the fleet may make in a window besides the ratio
 * @param noisyShare share of the time in which a backend server is five times slower
 */
record Fleet(
    int zones, int gateways, int servers, int slots, double retrySlack, double noisyShare) {
  /** The large deployment. */
  static final Fleet LARGE = new Fleet(5, 152, 97, 3, 230, 0.25);

  /** The reads and uploads of the deployment with tenants: small servers of two slots. */
  static final Fleet RECORDS = new Fleet(3, 125, 55, 2, 196, 0.3);

  /** The short calls of the deployment with tenants. */
  static final Fleet ORDERS = new Fleet(3, 125, 103, 2, 196, 0.3);

  /** Returns the same share of everything with few gateways. */
  Fleet small() {
    int share = 7;
    return new Fleet(
        zones, gateways / share, servers / share, slots, retrySlack / share, noisyShare);
  }
}
