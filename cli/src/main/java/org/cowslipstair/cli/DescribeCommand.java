package org.cowslipstair.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cowslipstair.logic.object.InvalidFieldsException;
import org.cowslipstair.logic.object.ObjectJson;
import org.cowslipstair.model.config.StoredObject;

/** Shows all fields of one object. */
final class DescribeCommand implements Command {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(description = "KIND NAME", required = true, arity = 2)
  private List<String> arguments = new ArrayList<>();

  @Override
  public String summary() {
    return "show all fields of an object: describe KIND NAME";
  }

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public void run(Session session) throws CliException {
    Arguments.requireCount(arguments, 2, "KIND NAME");
    StoredObject stored =
        session.objects().get(ObjectArguments.parseKey(arguments.getFirst(), arguments.getLast()));
    ObjectNode description = MAPPER.createObjectNode();
    description.put("kind", stored.key().kind().wireName());
    description.put("name", stored.key().name());
    description.put("version", stored.version());
    description.put("changeId", stored.changeId());
    description.set("body", body(stored));
    if (session.printer().isJson()) {
      session.printer().json(description);
      return;
    }
    for (Map.Entry<String, JsonNode> field : description.properties()) {
      printField(session.printer(), "", field.getKey(), field.getValue());
    }
    warnIfInvalid(session, stored);
  }

  private static JsonNode body(StoredObject stored) {
    try {
      return MAPPER.readTree(stored.json());
    } catch (JsonProcessingException _) {
      return MAPPER.getNodeFactory().textNode(stored.json());
    }
  }

  private static void printField(Printer printer, String indent, String name, JsonNode value) {
    if (!value.isObject()) {
      printer.line("%s%s: %s".formatted(indent, name, value.isTextual() ? value.asText() : value));
      return;
    }
    printer.line(indent + name + ":");
    for (Map.Entry<String, JsonNode> field : value.properties()) {
      printField(printer, indent + "  ", field.getKey(), field.getValue());
    }
  }

  private static void warnIfInvalid(Session session, StoredObject stored) {
    try {
      ObjectJson.read(stored);
    } catch (InvalidFieldsException e) {
      session.printer().progress("gateways reject this version: " + e.getMessage());
    }
  }
}
