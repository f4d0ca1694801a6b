package org.cowslipstair.gateway;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.cowslipstair.adapters.http.CallerLimits;
import org.cowslipstair.adapters.settings.InvalidFileException;
import org.cowslipstair.adapters.settings.TomlDocument;
import org.cowslipstair.logic.object.FieldReader;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayName;

/**
 * Settings of one gateway.
 *
 * @param callerAddress address for callers
 * @param peerAddress address for other gateways
 * @param adminAddress address for operators and for the platform's health checks
 * @param storeAddresses addresses of the platform's store, tried in order
 * @param peerKey secret that all gateways of the fleet share
 * @param stopNoticeMs milliseconds between reporting not ready and draining calls
 * @param stopTimeoutMs maximum time in milliseconds that a planned stop waits for calls in progress
 */
public record GatewaySettings(
    GatewayName name,
    ZoneName zone,
    HostPort callerAddress,
    HostPort peerAddress,
    HostPort adminAddress,
    List<HostPort> storeAddresses,
    String peerKey,
    CallerLimits limits,
    long stopNoticeMs,
    long stopTimeoutMs) {
  private static final int MIN_KEY_CHARS = 16;
  private static final long DEFAULT_STOP_NOTICE_MS = 3_000;
  private static final long DEFAULT_STOP_TIMEOUT_MS = 3_600_000;
  private static final long MAX_STOP_MS = 24 * 3_600_000L;

  /** Copies the addresses. */
  public GatewaySettings {
    storeAddresses = List.copyOf(storeAddresses);
  }

  /** Reads a settings file; the exception lists every fault in it. */
  public static GatewaySettings read(Path file) throws IOException, InvalidFileException {
    return from(TomlDocument.read(file));
  }

  static GatewaySettings from(TomlDocument document) throws InvalidFileException {
    FieldReader fields = document.fields();
    GatewaySettings settings =
        new GatewaySettings(
            fields.name("name", GatewayName::new),
            fields.name("zone", ZoneName::new),
            fields.address("caller_address"),
            fields.address("peer_address"),
            fields.address("admin_address"),
            fields.addresses("store_addresses"),
            fields.secret("peer_key", MIN_KEY_CHARS),
            callerLimits(fields),
            fields.integer("stop_notice_ms", 0, MAX_STOP_MS, DEFAULT_STOP_NOTICE_MS),
            fields.integer("stop_timeout_ms", 0, MAX_STOP_MS, DEFAULT_STOP_TIMEOUT_MS));
    document.requireValid();
    return settings;
  }

  private static CallerLimits callerLimits(FieldReader fields) {
    CallerLimits defaults = CallerLimits.defaults();
    return fields
        .table("limits")
        .map(
            table ->
                new CallerLimits(
                    (int) table.integer("max_head_bytes", 1_024, 1 << 20, defaults.maxHeadBytes()),
                    table.integer("max_body_bytes", 0, Long.MAX_VALUE, defaults.maxBodyBytes()),
                    (int) table.integer("buffered_bytes", 0, 1 << 20, defaults.bufferedBytes()),
                    table.integer("head_timeout_ms", 1, MAX_STOP_MS, defaults.headTimeoutMs()),
                    table.integer("idle_timeout_ms", 1, MAX_STOP_MS, defaults.idleTimeoutMs()),
                    table.integer(
                        "body_idle_timeout_ms", 1, MAX_STOP_MS, defaults.bodyIdleTimeoutMs()),
                    table.integer(
                        "min_body_bytes_per_second",
                        0,
                        Integer.MAX_VALUE,
                        defaults.minBodyBytesPerSecond()),
                    table.integer(
                        "max_call_timeout_ms", 1, MAX_STOP_MS, defaults.maxCallTimeoutMs())))
        .orElse(defaults);
  }

  @Override
  public String toString() {
    return "GatewaySettings[%s in %s]".formatted(name, zone);
  }
}
