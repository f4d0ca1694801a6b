package org.cowslipstair.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

final class QuarantineCommandTest {
  @Test
  void eachSuspectedRequestIsALine() throws JsonProcessingException {
    String state =
        """
        {"suspectedRequests":[
          {"fingerprint":"ab","heldBack":true,"crashes":3,"trials":1,"lastSeenMs":20,
           "ranOn":["b-1","b-2","b-3"]},
          {"fingerprint":"cd","heldBack":false,"crashes":1,"trials":0,"lastSeenMs":5,
           "ranOn":["b-1"]}]}
        """;
    assertThat(
        QuarantineCommand.suspects(new ObjectMapper().readTree(state)),
        contains(
            "ab held back, crashes 3, trials 1, seen 20 ms ago, ran on b-1 b-2 b-3",
            "cd suspected, crashes 1, trials 0, seen 5 ms ago, ran on b-1"));
  }
}
