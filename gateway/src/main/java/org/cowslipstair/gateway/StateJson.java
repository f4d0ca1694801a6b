package org.cowslipstair.gateway;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.util.List;
import org.cowslipstair.logic.call.CallDecision;
import org.cowslipstair.logic.config.ConfigEvent;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.RuleName;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.StoreId;
import org.cowslipstair.model.config.ZoneName;
import org.cowslipstair.model.fleet.GatewayId;
import org.cowslipstair.model.fleet.GatewayName;
import org.cowslipstair.model.pool.BackendState;
import org.cowslipstair.model.pool.PoolId;

/** Writes states and explanations as JSON: names as text, variants with their type. */
final class StateJson {
  private static final List<Class<?>> AS_TEXT =
      List.of(
          ZoneName.class,
          BackendName.class,
          ServiceName.class,
          RuleName.class,
          GatewayName.class,
          GatewayId.class,
          StoreId.class,
          ObjectKey.class,
          HostPort.class,
          PoolId.class);
  private static final List<Class<?>> VARIANTS =
      List.of(BackendState.class, CallDecision.class, ConfigEvent.class);
  private static final ObjectMapper MAPPER = newMapper();

  private StateJson() {}

  /** Adds the name of the record to each variant of a sealed interface. */
  @JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
  private interface Typed {}

  private static ObjectMapper newMapper() {
    SimpleModule names = new SimpleModule();
    for (Class<?> type : AS_TEXT) {
      names.addSerializer(type, ToStringSerializer.instance);
    }
    JsonMapper.Builder builder =
        JsonMapper.builder()
            .enable(SerializationFeature.INDENT_OUTPUT)
            .addModule(new Jdk8Module())
            .addModule(names)
            .defaultPropertyInclusion(
                JsonInclude.Value.construct(
                    JsonInclude.Include.NON_ABSENT, JsonInclude.Include.NON_ABSENT));
    for (Class<?> type : VARIANTS) {
      builder.addMixIn(type, Typed.class);
    }
    return builder.build();
  }

  /** Returns a value as JSON text. */
  static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("state cannot be written as JSON", e);
    }
  }
}
