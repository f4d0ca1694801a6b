package org.cowslipstair.standins;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.cowslipstair.standins.store.StoreInstance;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StandinListTest {
  @TempDir private Path directory;

  private Path writeFile(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text);
  }

  @Test
  void readsBackendsFromAllTomlFilesOfDirectory() throws Exception {
    writeFile("a.toml", "[[zone]]\nname=\"z\"\n");
    writeFile("b.toml", "[[backend_server]]\nname=\"w\"\naddress=\"127.0.0.1:20101\"\nslots=3\n");
    writeFile("notes.txt", "not TOML");

    assertThat(
        StandinList.readBackends(directory), contains(new StandinList.Backend("w", 20_101, 3)));
  }

  @Test
  void invalidListsAreRejected() throws IOException {
    Path invalidSyntax = writeFile("syntax.toml", "a = = 1");
    Path missingAddress = writeFile("address.toml", "[[backend_server]]\nname=\"w\"\nslots=3\n");
    Path missingZone = writeFile("zone.toml", "[[instance]]\nname=\"gw-1\"\n");

    assertThrows(InvalidListException.class, () -> StandinList.readBackends(invalidSyntax));
    assertThrows(InvalidListException.class, () -> StandinList.readBackends(missingAddress));
    assertThrows(InvalidListException.class, () -> StandinList.readInstances(missingZone));
  }

  @Test
  void readsInstancesOfLocalExample() throws Exception {
    Path instancesFile = Path.of("..", "examples", "local", "instances.toml");

    assertThat(
        StandinList.readInstances(instancesFile).getFirst(),
        is(new StoreInstance("gw-a", "tz-north-a", "127.0.0.1:7520", "127.0.0.1:7530", false)));
  }
}
