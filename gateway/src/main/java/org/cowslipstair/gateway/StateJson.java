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

/** Writes states and explanations as JSON: names as strings, sealed variants with their type. */
final class StateJson {
  private static final List<Class<?>> STRING_TYPES =
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
  private static final List<Class<?>> SEALED_TYPES =
      List.of(BackendState.class, CallDecision.class, ConfigEvent.class);
  private static final ObjectMapper MAPPER = newMapper();

  private StateJson() {}

  /** Mix-in that writes the simple class name of a sealed interface's variant as its type. */
  @JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
  private interface TypeProperty {}

  private static ObjectMapper newMapper() {
    SimpleModule stringModule = new SimpleModule();
    for (Class<?> type : STRING_TYPES) {
      stringModule.addSerializer(type, ToStringSerializer.instance);
    }
    JsonMapper.Builder builder =
        JsonMapper.builder()
            .enable(SerializationFeature.INDENT_OUTPUT)
            .addModule(new Jdk8Module())
            .addModule(stringModule)
            .defaultPropertyInclusion(
                JsonInclude.Value.construct(
                    JsonInclude.Include.NON_ABSENT, JsonInclude.Include.NON_ABSENT));
    for (Class<?> type : SEALED_TYPES) {
      builder.addMixIn(type, TypeProperty.class);
    }
    return builder.build();
  }

  /** Returns a value as JSON text. */
  static String toJson(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("state cannot be written as JSON", e);
    }
  }
}
