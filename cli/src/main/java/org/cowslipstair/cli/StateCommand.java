package org.cowslipstair.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.ObjectKind;

/** Takes a zone or backend server out of service, or returns it, through its label state. */
final class StateCommand implements Command {
  private final Target target;

  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(description = "VERB NAME", required = true)
  private List<String> arguments = new ArrayList<>();

  StateCommand(Target target) {
    this.target = target;
  }

  /** Kind of object to change, with its verbs and its label value for "out of service". */
  enum Target {
    ZONE(
        "take a zone out of service or return it to service: zone out NAME, zone in NAME",
        ObjectKind.ZONE,
        "out",
        "in",
        Labels.STATE_OUT),
    BACKEND(
        "stop or resume new calls to a backend server: backend leave NAME, backend join NAME",
        ObjectKind.BACKEND_SERVER,
        "leave",
        "join",
        Labels.STATE_LEAVING);

    private final String summary;

    private final ObjectKind kind;
    private final String outVerb;
    private final String inVerb;
    private final String outState;

    Target(String summary, ObjectKind kind, String outVerb, String inVerb, String outState) {
      this.summary = summary;
      this.kind = kind;
      this.outVerb = outVerb;
      this.inVerb = inVerb;
      this.outState = outState;
    }

    private Optional<String> state(String verb) throws CliException {
      if (verb.equals(outVerb)) {
        return Optional.of(outState);
      }
      if (verb.equals(inVerb)) {
        return Optional.empty();
      }
      throw new CliException.Usage(verb, syntax());
    }

    String syntax() {
      return "%s NAME or %s NAME".formatted(outVerb, inVerb);
    }
  }

  @Override
  public String summary() {
    return target.summary;
  }

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public void run(Session session) throws CliException, InterruptedException {
    Arguments.requireCount(arguments, 2, target.syntax());
    Optional<String> state = target.state(arguments.getFirst());
    LabelEdit edit = new LabelEdit(Map.of(Labels.STATE, state));
    LabelCommand.change(session, ObjectArguments.parseKey(target.kind, arguments.getLast()), edit);
  }
}
