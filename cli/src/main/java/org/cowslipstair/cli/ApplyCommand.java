package org.cowslipstair.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cowslipstair.adapters.settings.InvalidFileException;
import org.cowslipstair.adapters.settings.ObjectFiles;
import org.cowslipstair.logic.object.ReferenceCheck;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.port.PlatformStore.ObjectBatch;
import org.cowslipstair.port.StoreException;

/** Writes the objects of files to the store; validates everything before the first write. */
final class ApplyCommand implements Command {
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(names = "-f", required = true, description = "file or directory of files")
  private Path source = Path.of(".");

  @Parameter(names = "--dry-run", description = "only show what would change")
  private boolean dryRun;

  @Override
  public String summary() {
    return "write objects from TOML files: apply -f DIR|FILE [--dry-run]";
  }

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public void run(Session session) throws CliException, InterruptedException {
    ObjectFiles files = CheckCommand.read(source);
    ObjectStore objects = session.objects();
    ObjectBatch stored = objects.list();
    requireValidReferences(files, ObjectStore.validObjects(stored));
    ApplyPlan plan = ApplyPlan.of(files.objects(), stored);
    long revision = stored.revision();
    List<List<String>> rows = new ArrayList<>();
    for (ApplyPlan.Step step : plan.steps()) {
      long version = step.storedVersion();
      if (step.isChange() && !dryRun) {
        version = write(session, objects, step, rows.size());
        revision = Math.max(revision, version);
      }
      String differences = String.join("; ", step.differences());
      rows.add(
          List.of(step.key().toString(), step.outcome(), String.valueOf(version), differences));
    }
    session.printer().rows(List.of("object", "outcome", "version", "differences"), rows);
    if (!dryRun) {
      session.awaitInForce(revision);
    }
  }

  private static long write(
      Session session, ObjectStore objects, ApplyPlan.Step step, int processedCount)
      throws CliException, InterruptedException {
    try {
      return objects.put(step.key(), step.body().toString(), step.storedVersion());
    } catch (StoreException e) {
      session.printer().progress("stopped after the first %d objects".formatted(processedCount));
      throw CliException.from(e);
    }
  }

  private static void requireValidReferences(ObjectFiles files, Collection<ConfigObject> stored)
      throws CliException {
    Map<ObjectKey, ConfigObject> objectsByKey = new TreeMap<>();
    stored.forEach(object -> objectsByKey.put(object.key(), object));
    files.objects().forEach(object -> objectsByKey.put(object.key(), object));
    try {
      files.requireNone(ReferenceCheck.findErrors(objectsByKey.values()));
    } catch (InvalidFileException e) {
      throw new CliException.InvalidInput(e);
    }
  }
}
