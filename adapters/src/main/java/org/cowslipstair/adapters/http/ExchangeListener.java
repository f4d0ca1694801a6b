package org.cowslipstair.adapters.http;

import okhttp3.Call;
import okhttp3.EventListener;

/** Wakes a thread that still waits for a caller's body when its call is cancelled. */
final class ExchangeListener extends EventListener {
  @Override
  public void canceled(Call call) {
    ExchangeTrace trace = call.request().tag(ExchangeTrace.class);
    if (trace != null) {
      trace.stopCallerRead();
    }
  }
}
