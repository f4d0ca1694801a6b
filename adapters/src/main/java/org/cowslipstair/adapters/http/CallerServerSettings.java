package org.cowslipstair.adapters.http;

import org.cowslipstair.model.config.HostPort;

/**
 * Settings of the server that callers connect to.
 *
 * @param address address to listen on; port 0 picks a free one
 */
public record CallerServerSettings(HostPort address, CallerLimits limits) {}
