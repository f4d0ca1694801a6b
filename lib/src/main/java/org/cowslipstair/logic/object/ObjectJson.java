package org.cowslipstair.logic.object;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cowslipstair.model.config.BackendName;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.HostPort;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.PolicyKind;
import org.cowslipstair.model.config.RoutingRule;
import org.cowslipstair.model.config.RuleName;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.model.config.ServiceName;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.model.config.Zone;
import org.cowslipstair.model.config.ZoneName;

/** Converts configuration objects from and to JSON; reading reports all invalid fields at once. */
public final class ObjectJson {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
          .build();
  private static final HostPort PLACEHOLDER_ADDRESS = new HostPort("invalid", 1);
  private static final int MAX_SLOTS = 10_000;
  private static final int MAX_CONNECTIONS = 100_000;
  private static final int DEFAULT_MAX_CONNECTIONS = 260;
  private static final long MAX_TIMEOUT_MS = 3_600_000;
  private static final long DEFAULT_TIMEOUT_MS = 10_000;
  private static final double MAX_PROBES_PER_SECOND = 1_000;
  private static final double DEFAULT_PROBES_PER_SECOND = 2;
  private static final int MAX_PRIORITY = 1_000_000;
  private static final Pattern HOST_PATTERN =
      Pattern.compile("[A-Za-z0-9]([A-Za-z0-9.-]*[A-Za-z0-9])?");
  private static final Pattern METHOD_PATTERN = Pattern.compile("[A-Z]{1,20}");

  private ObjectJson() {}

  /** Reads a stored object. */
  public static ConfigObject read(StoredObject stored) throws InvalidFieldsException {
    return read(stored.key(), stored.json());
  }

  /** Reads the JSON body of an object. */
  public static ConfigObject read(ObjectKey key, String json) throws InvalidFieldsException {
    try {
      return read(key, MAPPER.readTree(json));
    } catch (JsonProcessingException e) {
      throw new InvalidFieldsException(
          key,
          List.of(
              new FieldError(FieldError.Kind.SYNTAX, "", e.getOriginalMessage(), "a JSON object")));
    }
  }

  /** Reads the body of an object from a JSON tree. */
  public static ConfigObject read(ObjectKey key, JsonNode body) throws InvalidFieldsException {
    if (!(body instanceof ObjectNode objectNode)) {
      FieldError error =
          new FieldError(FieldError.Kind.WRONG_TYPE, "", body.toString(), "a JSON object");
      throw new InvalidFieldsException(key, List.of(error));
    }
    FieldReader fields = new FieldReader(objectNode);
    ConfigObject object =
        switch (key.kind()) {
          case ZONE -> new Zone(new ZoneName(key.name()), fields.labels());
          case BACKEND_SERVER -> readBackendServer(key, fields);
          case SERVICE -> readService(key, fields);
          case ROUTING_RULE -> readRoutingRule(key, fields);
          case ATTEMPT -> throw notConfigurationObject(key);
        };
    List<FieldError> errors = fields.collectErrors();
    if (!errors.isEmpty()) {
      throw new InvalidFieldsException(key, errors);
    }
    return object;
  }

  private static InvalidFieldsException notConfigurationObject(ObjectKey key) {
    String accepted = "zone, backend-server, service, routing-rule";
    return new InvalidFieldsException(
        key,
        List.of(
            new FieldError(FieldError.Kind.NOT_ACCEPTED, "kind", key.kind().wireName(), accepted)));
  }

  private static BackendServer readBackendServer(ObjectKey key, FieldReader fields) {
    return new BackendServer(
        new BackendName(key.name()),
        fields.labels(),
        fields.name("zone", ZoneName::new),
        fields.parsed(
            "address",
            "host:port, port from 1 to 65535",
            PLACEHOLDER_ADDRESS,
            ObjectJson::parseAddress),
        (int) fields.requiredInteger("slots", 1, MAX_SLOTS),
        (int) fields.integer("max_connections", 1, MAX_CONNECTIONS, DEFAULT_MAX_CONNECTIONS));
  }

  private static Optional<HostPort> parseAddress(String text) {
    return HostPort.parse(text).filter(parsed -> parsed.port() > 0);
  }

  private static Service readService(ObjectKey key, FieldReader fields) {
    String policies =
        Stream.of(PolicyKind.values()).map(PolicyKind::wireName).collect(Collectors.joining(", "));
    return new Service(
        new ServiceName(key.name()),
        fields.labels(),
        fields.selector("backends", true),
        fields.selector("zones", false),
        fields.parsedOrDefault("policy", policies, PolicyKind.BROKER, PolicyKind::fromWireName),
        fields.integer("timeout_ms", 1, MAX_TIMEOUT_MS, DEFAULT_TIMEOUT_MS),
        fields.number("probes_per_second", 0, MAX_PROBES_PER_SECOND, DEFAULT_PROBES_PER_SECOND),
        fields.flag("hedging").orElse(true));
  }

  private static RoutingRule readRoutingRule(ObjectKey key, FieldReader fields) {
    return new RoutingRule(
        new RuleName(key.name()),
        fields.labels(),
        (int) fields.integer("priority", -MAX_PRIORITY, MAX_PRIORITY, 0),
        fields.optionalText("host", HOST_PATTERN.asMatchPredicate(), "a host name without port"),
        fields
            .optionalText("path_prefix", text -> text.startsWith("/"), "a path that begins with /")
            .orElse("/"),
        fields.stringSet("methods", METHOD_PATTERN.asMatchPredicate(), "upper-case HTTP methods"),
        fields.name("service", ServiceName::new),
        fields.flag("idempotent"),
        fields.flag("once_per_key").orElse(false));
  }

  /** Returns the JSON body of an object; reading it returns an equal object. */
  public static String write(ConfigObject object) {
    return writeTree(object).toString();
  }

  /** Returns the body of an object as a JSON tree. */
  public static ObjectNode writeTree(ConfigObject object) {
    ObjectNode body = MAPPER.createObjectNode();
    ObjectNode labels = body.putObject("labels");
    object.labels().values().forEach(labels::put);
    switch (object) {
      case Zone _ -> {}
      case BackendServer backend -> writeFields(body, backend);
      case Service service -> writeFields(body, service);
      case RoutingRule rule -> writeFields(body, rule);
    }
    return body;
  }

  private static void writeFields(ObjectNode body, BackendServer backend) {
    body.put("zone", backend.zone().value());
    body.put("address", backend.address().toString());
    body.put("slots", backend.slots());
    body.put("max_connections", backend.maxConnections());
  }

  private static void writeFields(ObjectNode body, Service service) {
    body.put("backends", SelectorSyntax.format(service.backends()));
    body.put("zones", SelectorSyntax.format(service.zones()));
    body.put("policy", service.policy().wireName());
    body.put("timeout_ms", service.timeoutMs());
    body.put("probes_per_second", service.probesPerSecond());
    body.put("hedging", service.hedging());
  }

  private static void writeFields(ObjectNode body, RoutingRule rule) {
    body.put("priority", rule.priority());
    rule.host().ifPresent(host -> body.put("host", host));
    body.put("path_prefix", rule.pathPrefix());
    Set<String> methods = rule.methods();
    methods.stream().sorted().forEach(body.withArrayProperty("methods")::add);
    body.put("service", rule.service().value());
    rule.idempotent().ifPresent(idempotent -> body.put("idempotent", idempotent));
    body.put("once_per_key", rule.oncePerKey());
  }
}
