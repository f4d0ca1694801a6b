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

/** Shows one object whole. */
final class DescribeCommand implements Command {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(description = "KIND NAME", required = true, arity = 2)
  private List<String> arguments = new ArrayList<>();

  @Override
  public String summary() {
    return "show an object whole: describe KIND NAME";
  }

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public void run(Session session) throws CliException {
    Arguments.require(arguments, 2, "KIND NAME");
    StoredObject stored =
        session.objects().get(Kinds.key(arguments.getFirst(), arguments.getLast()));
    ObjectNode shown = MAPPER.createObjectNode();
    shown.put("kind", stored.key().kind().wireName());
    shown.put("name", stored.key().name());
    shown.put("version", stored.version());
    shown.put("changeId", stored.changeId());
    shown.set("body", body(stored));
    if (session.printer().isJson()) {
      session.printer().json(shown);
      return;
    }
    for (Map.Entry<String, JsonNode> field : shown.properties()) {
      printField(session.printer(), "", field.getKey(), field.getValue());
    }
    validate(session, stored);
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

  private static void validate(Session session, StoredObject stored) {
    try {
      ObjectJson.read(stored);
    } catch (InvalidFieldsException e) {
      session.printer().progress("gateways do not accept this version: " + e.getMessage());
    }
  }
}
