package org.cowslipstair.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Shows what happened to one request, from the logs of gateways. */
final class ExplainLogCommand implements Command {
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(description = "REQUEST_ID FILE ...", required = true)
  private List<String> arguments = new ArrayList<>();

  @Override
  public String summary() {
    return "show from logs what happened to a request: explain-log REQUEST_ID FILE ...";
  }

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public void run(Session session) throws CliException {
    if (arguments.size() < 2) {
      throw new CliException.Usage(String.join(" ", arguments), "REQUEST_ID FILE ...");
    }
    String requestId = arguments.getFirst();
    RequestTimeline timeline = new RequestTimeline(requestId);
    for (String file : arguments.subList(1, arguments.size())) {
      try (Stream<String> lines = Files.lines(Path.of(file))) {
        timeline.addLog(lines);
      } catch (IOException e) {
        throw new CliException.InvalidInput(e);
      }
    }
    List<String> entries = timeline.entries();
    if (entries.isEmpty()) {
      throw new CliException.NotFound("request", requestId);
    }
    entries.forEach(line -> session.printer().line(line));
  }
}
