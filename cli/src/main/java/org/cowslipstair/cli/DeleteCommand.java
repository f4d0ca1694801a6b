package org.cowslipstair.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cowslipstair.logic.object.ReferenceCheck;
import org.cowslipstair.model.config.ConfigObject;
import org.cowslipstair.model.config.ObjectKey;
import org.cowslipstair.model.config.StoredObject;
import org.cowslipstair.port.StoreException;

/** Deletes one object that no other refers to. */
final class DeleteCommand implements Command {
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Parameter(description = "KIND NAME", required = true)
  private List<String> arguments = new ArrayList<>();

  @Override
  public String summary() {
    return "delete an object: delete KIND NAME";
  }

  @Override
  public CommonOptions common() {
    return common;
  }

  @Override
  public void run(Session session) throws CliException, InterruptedException {
    Arguments.require(arguments, 2, "KIND NAME");
    ObjectKey key = Kinds.key(arguments.getFirst(), arguments.getLast());
    Objects objects = session.objects();
    StoredObject stored = objects.get(key);
    requireUnreferenced(key, Objects.valid(objects.list()));
    try {
      objects.delete(key, stored.version());
    } catch (StoreException e) {
      throw CliException.of(e);
    }
    session.printer().line("%s deleted".formatted(key));
    session.awaitInForce(objects.list().revision());
  }

  private static void requireUnreferenced(ObjectKey key, List<ConfigObject> all)
      throws CliException {
    Set<ObjectKey> before = ReferenceCheck.findErrors(all).keySet();
    List<ConfigObject> without = all.stream().filter(object -> !object.key().equals(key)).toList();
    Set<ObjectKey> broken = new HashSet<>(ReferenceCheck.findErrors(without).keySet());
    broken.removeAll(before);
    if (!broken.isEmpty()) {
      throw new CliException.StillReferenced(key, broken.stream().sorted().toList());
    }
  }
}
