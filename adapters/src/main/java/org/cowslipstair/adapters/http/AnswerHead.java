package org.cowslipstair.adapters.http;

import java.util.ArrayList;
import java.util.List;
import okhttp3.Headers;
import org.cowslipstair.model.call.HeaderField;

/**
 * Head of an answer as it came from a backend server.
 *
 * @param bodiless whether the answer has no body, whatever its header fields say
 */
record AnswerHead(int status, List<HeaderField> headers, boolean bodiless) {
  /** Converts header fields from OkHttp's form. */
  static List<HeaderField> fields(Headers headers) {
    List<HeaderField> fields = new ArrayList<>(headers.size());
    for (int i = 0; i < headers.size(); i++) {
      fields.add(new HeaderField(headers.name(i), headers.value(i)));
    }
    return fields;
  }
}
