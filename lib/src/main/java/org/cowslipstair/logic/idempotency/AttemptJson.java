package org.cowslipstair.logic.idempotency;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.RuleName;
import org.cowslipstair.model.config.StoredObject;

/** Key and JSON body of attempts in the platform's store. */
final class AttemptJson {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String EXPIRES_AT_MS = "expiresAtMs";

  private AttemptJson() {}

  /** Returns the store key of an attempt, a hash; the caller's key itself is not stored. */
  static ObjectKey keyOf(RuleName rule, String idempotencyKey) {
    String hash =
        Hashing.sha256()
            .newHasher()
            .putString(rule.value(), StandardCharsets.UTF_8)
            .putByte((byte) 0)
            .putString(idempotencyKey, StandardCharsets.UTF_8)
            .hash()
            .toString();
    return new ObjectKey(ObjectKind.ATTEMPT, hash);
  }

  static String toJson(RuleName rule, String requestId, long expiresAtMs) {
    return MAPPER
        .createObjectNode()
        .put("rule", rule.value())
        .put("requestId", requestId)
        .put(EXPIRES_AT_MS, expiresAtMs)
        .toString();
  }

  /** Returns whether an attempt has expired; an unreadable one never does. */
  static boolean isExpired(StoredObject attempt, long wallClockMs) {
    try {
      JsonNode expiresAtMs = MAPPER.readTree(attempt.json()).path(EXPIRES_AT_MS);
      return expiresAtMs.isIntegralNumber() && expiresAtMs.asLong() <= wallClockMs;
    } catch (JsonProcessingException ignored) {
      return false;
    }
  }
}
