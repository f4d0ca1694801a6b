package org.cowslipstair.model.pool;

import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.ZoneName;

/** The backend servers of one service in one zone. */
public record PoolId(ServiceName service, ZoneName zone) implements Comparable<PoolId> {
  @Override
  public int compareTo(PoolId other) {
    int byService = service.compareTo(other.service);
    return byService != 0 ? byService : zone.compareTo(other.zone);
  }

  @Override
  public String toString() {
    return service + "@" + zone;
  }
}
