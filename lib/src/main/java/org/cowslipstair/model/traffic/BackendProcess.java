package org.cowslipstair.model.traffic;

import org.cowslipstair.model.config.BackendName;

/**
 * One process of a backend server.
 *
 * @param startedUnixMs when it started, by its own clock
 */
public record BackendProcess(BackendName name, long startedUnixMs) {}
