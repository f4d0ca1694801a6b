package org.cowslipstair.model.call;

/** One header field; a message may carry several of the same name. */
public record HeaderField(String name, String value) {}
