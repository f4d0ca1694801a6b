package review.lab;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** The users' words for headers, fields and settings; they stand in wire.properties. */
public final class Wire {
  private static final Properties WORDS = load();

  public static final String REQUEST_ID = word("requestId");
  public static final String DEADLINE = word("deadline");
  public static final String INSTANCE = word("instance");
  public static final String LOAD = word("load");
  public static final String EXPECTED_INSTANCE = word("expectedInstance");
  public static final String SIGNATURE = word("signature");
  public static final String SETTINGS_VARIABLE = word("settingsVariable");
  public static final String APPLY_BOUND = word("applyBound");
  public static final String STORE_REVISION = word("revision");
  public static final String COLD_LEFT = word("coldLeft");
  public static final String COLD_RATE = word("coldRate");
  public static final String PREFIX = word("prefix");
  public static final String HOSTS = word("hosts");

  private Wire() {}

  private static Properties load() {
    Properties words = new Properties();
    try (InputStream in = Wire.class.getResourceAsStream("/wire.properties")) {
      words.load(in);
      return words;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String word(String key) {
    String value = WORDS.getProperty(key);
    if (value == null) {
      throw new IllegalStateException("wire.properties lacks " + key);
    }
    return value;
  }
}
