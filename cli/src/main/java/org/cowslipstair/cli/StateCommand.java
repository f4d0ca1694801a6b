package org.cowslipstair.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipstair.model.config.Labels;
import org.cowslipstair.model.config.ObjectKind;

/** Takes a zone or a backend server out of service and back, by its label {@code state}. */
final class StateCommand implements Command {
  private final Subject subject;

  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(description = "VERB NAME", required = true)
  private List<String> arguments = new ArrayList<>();

  StateCommand(Subject subject) {
    this.subject = subject;
  }

  /** What is taken out, and the verbs for it. */
  enum Subject {
    ZONE(
        "take a zone out of service or bring it back: zone out NAME, zone in NAME",
        ObjectKind.ZONE,
        "out",
        "in",
        Labels.STATE_OUT),
    BACKEND(
        "end new calls of a backend server or allow them: backend leave NAME, backend join NAME",
        ObjectKind.BACKEND_SERVER,
        "leave",
        "join",
        Labels.STATE_LEAVING);

    private final String summary;

    private final ObjectKind kind;
    private final String outVerb;
    private final String inVerb;
    private final String outState;

    Subject(String summary, ObjectKind kind, String outVerb, String inVerb, String outState) {
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
      throw new CliException.Usage(verb, accepted());
    }

    String accepted() {
      return "%s NAME or %s NAME".formatted(outVerb, inVerb);
    }
  }

  @Override
  public String summary() {
    return subject.summary;
  }

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public void run(Session session) throws CliException, InterruptedException {
    Arguments.require(arguments, 2, subject.accepted());
    Optional<String> state = subject.state(arguments.getFirst());
    LabelEdit edit = new LabelEdit(Map.of(Labels.STATE, state));
    LabelCommand.change(session, Kinds.key(subject.kind, arguments.getLast()), edit);
  }
}
