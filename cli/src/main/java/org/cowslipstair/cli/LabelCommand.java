package org.cowslipstair.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;
import org.cowslipstair.model.config.ObjectKey;

/** Sets and removes labels of an object. */
final class LabelCommand implements Command {
  private static final int FIRST_LABEL_INDEX = 2;

  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(description = "KIND NAME key=value ... key- ...", required = true)
  private List<String> arguments = new ArrayList<>();

  @Override
  public String summary() {
    return "change labels: label KIND NAME key=value ... key- ...";
  }

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public void run(Session session) throws CliException, InterruptedException {
    if (arguments.size() <= FIRST_LABEL_INDEX) {
      throw new CliException.Usage(String.join(" ", arguments), "KIND NAME key=value ...");
    }
    ObjectKey key = ObjectArguments.parseKey(arguments.get(0), arguments.get(1));
    LabelEdit edit = LabelEdit.parse(arguments.subList(FIRST_LABEL_INDEX, arguments.size()));
    change(session, key, edit);
  }

  /** Changes labels, prints the result, and waits until the change is in force. */
  static void change(Session session, ObjectKey key, LabelEdit edit)
      throws CliException, InterruptedException {
    LabelWriter.Result result = new LabelWriter(session.objects()).change(key, edit);
    String outcome = result.isChanged() ? "changed" : "unchanged";
    session
        .printer()
        .rows(
            List.of("object", "outcome", "version"),
            List.of(List.of(key.toString(), outcome, Long.toString(result.version()))));
    session.awaitInForce(result.version());
  }
}
