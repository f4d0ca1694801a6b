package org.cowslipstair.adapters.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cowslipstair.logic.object.ReferenceCheck;
import org.cowslipstair.model.config.ZoneName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TomlDocumentTest {
  @TempDir private Path directory;

  private static List<String> places(InvalidFileException e) {
    return e.faults().stream()
        .map(fault -> fault.line() + " " + fault.fault().path() + " " + fault.fault().kind())
        .toList();
  }

  private InvalidFileException faultsOf(String text) throws IOException {
    Path file = Files.writeString(directory.resolve("objects.toml"), text);
    return assertThrows(InvalidFileException.class, () -> ObjectFiles.read(file));
  }

  @Test
  void settingsFaultsBearTheirLines() throws InvalidFileException {
    String text =
        """
        note = '''
        zone = 3
        '''
        # zone = 1
        zone = "A"
        stores = [
          "localhost:1", # b = 2
          "nowhere",
        ]
        [peer]
        port = 70000
        ports = 1
        """;
    TomlDocument document = TomlDocument.parse("gateway.toml", text);
    document.fields().name("zone", ZoneName::new);
    document.fields().addresses("stores");
    document.fields().optionalText("note", _ -> true, "any text");
    document.fields().table("peer").orElseThrow().requiredInteger("port", 1, 65_535);

    InvalidFileException faults = assertThrows(InvalidFileException.class, document::requireValid);

    assertThat(
        places(faults),
        containsInAnyOrder(
            "5 zone NOT_ACCEPTED",
            "6 stores NOT_ACCEPTED",
            "11 peer.port NOT_ACCEPTED",
            "12 peer.ports UNKNOWN_FIELD"));
    assertThat(faults.getMessage(), containsString("gateway.toml:12: peer.ports"));
  }

  @Test
  void secretsAreRequiredAndNotShown() throws InvalidFileException {
    TomlDocument document =
        TomlDocument.parse("gateway.toml", "short = \"hunter2\"\nnumber = 77\n");
    document.fields().secret("short", 16);
    document.fields().secret("number", 16);
    document.fields().secret("absent", 16);

    InvalidFileException faults = assertThrows(InvalidFileException.class, document::requireValid);

    assertThat(
        places(faults),
        containsInAnyOrder("1 short NOT_ACCEPTED", "2 number WRONG_TYPE", "1 absent MISSING"));
    assertThat(faults.getMessage().contains("hunter2"), is(false));
    assertThat(faults.getMessage().contains("77"), is(false));
  }

  @Test
  void syntaxFaultBearsItsLine() {
    InvalidFileException faults =
        assertThrows(
            InvalidFileException.class, () -> TomlDocument.parse("x.toml", "a = 1\nb = = 2\n"));

    assertThat(faults.faults().getFirst().line(), is(2));
  }

  @Test
  void objectFaultsOfAllTablesAreListed() throws IOException {
    String text =
        """
        [[zone]]
        name = "a"

        [[zone]]
        name = "a"
        [zone.labels]
        state = 1

        [[backend_server]]
        zone = "a"

        [[zone]]
        name = "a"

        [[gateway]]
        """;

    assertThat(
        places(faultsOf(text)),
        containsInAnyOrder(
            "7 zone[1].labels.state WRONG_TYPE",
            "13 zone[2].name DUPLICATE",
            "9 backend_server[0].name MISSING",
            "15 gateway UNKNOWN_FIELD"));
  }

  @Test
  void referencesToMissingObjectsAreFound() throws IOException, InvalidFileException {
    Path file = directory.resolve("rules.toml");
    Files.writeString(file, "[[routing_rule]]\nname = \"r\"\nservice = \"watch\"\n");
    ObjectFiles files = ObjectFiles.read(file);

    InvalidFileException faults =
        assertThrows(
            InvalidFileException.class,
            () -> files.requireNone(ReferenceCheck.findErrors(files.objects())));

    assertThat(faults.faults(), hasSize(1));
    assertThat(places(faults), is(List.of("3 routing_rule[0].service UNKNOWN_REFERENCE")));
  }
}
