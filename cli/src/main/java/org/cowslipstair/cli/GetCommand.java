package org.cowslipstair.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cowslipstair.logic.object.InvalidFieldsException;
import org.cowslipstair.logic.object.ObjectJson;
import org.cowslipstair.logic.object.SelectorSyntax;
import org.cowslipstair.model.config.BackendServer;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.ObjectKind;
import org.cowslipstair.model.config.RoutingRule;
import org.cowslipstair.model.config.Service;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.model.config.Zone;

/** Lists objects, all or those of one kind, or shows one object. */
final class GetCommand implements Command {
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(description = "[KIND [NAME]]")
  private List<String> arguments = new ArrayList<>();

  @Override
  public String summary() {
    return "list objects: get [KIND [NAME]]";
  }

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public void run(Session session) throws CliException {
    List<StoredObject> selected = select(session);
    List<List<String>> rows = new ArrayList<>();
    for (StoredObject stored : selected) {
      rows.add(row(stored));
    }
    session.printer().rows(List.of("kind", "name", "version", "labels", "details"), rows);
  }

  private List<StoredObject> select(Session session) throws CliException {
    return switch (arguments.size()) {
      case 0 -> session.objects().list().objects();
      case 1 -> {
        ObjectKind kind = ObjectArguments.parseKind(arguments.getFirst());
        yield session.objects().list(Set.of(kind)).objects();
      }
      case 2 ->
          List.of(
              session
                  .objects()
                  .get(ObjectArguments.parseKey(arguments.getFirst(), arguments.getLast())));
      default -> throw new CliException.Usage(arguments.get(2), "KIND and NAME");
    };
  }

  private static List<String> row(StoredObject stored) {
    String kind = stored.key().kind().wireName();
    String version = Long.toString(stored.version());
    try {
      ConfigObject object = ObjectJson.read(stored);
      return List.of(kind, stored.key().name(), version, format(object.labels()), details(object));
    } catch (InvalidFieldsException e) {
      return List.of(kind, stored.key().name(), version, "", e.getMessage());
    }
  }

  static String format(Labels labels) {
    return labels.values().entrySet().stream()
        .map((Map.Entry<String, String> label) -> label.getKey() + "=" + label.getValue())
        .collect(Collectors.joining(","));
  }

  private static String details(ConfigObject object) {
    return switch (object) {
      case Zone zone -> zone.isOut() ? "out" : "in";
      case BackendServer backend ->
          "%s at %s, %d slots%s"
              .formatted(
                  backend.zone(),
                  backend.address(),
                  backend.slots(),
                  backend.isLeaving() ? ", leaving" : "");
      case Service service ->
          "%s; backends: %s; zones: %s"
              .formatted(
                  service.policy().wireName(),
                  SelectorSyntax.format(service.backends()),
                  SelectorSyntax.format(service.zones()));
      case RoutingRule rule ->
          "%s%s -> %s".formatted(rule.host().orElse("*"), rule.pathPrefix(), rule.service());
    };
  }
}
