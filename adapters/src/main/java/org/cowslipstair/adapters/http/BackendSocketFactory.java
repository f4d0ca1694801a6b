package org.cowslipstair.adapters.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import javax.net.SocketFactory;

/** Makes the sockets that lead to backend servers. */
final class BackendSocketFactory extends SocketFactory {
  @Override
  public Socket createSocket() throws IOException {
    return new BackendSocket();
  }

  @Override
  public Socket createSocket(String host, int port) throws IOException {
    return connected(new InetSocketAddress(host, port));
  }

  @Override
  public Socket createSocket(String host, int port, InetAddress localHost, int localPort)
      throws IOException {
    return connected(new InetSocketAddress(host, port));
  }

  @Override
  public Socket createSocket(InetAddress host, int port) throws IOException {
    return connected(new InetSocketAddress(host, port));
  }

  @Override
  public Socket createSocket(InetAddress host, int port, InetAddress localHost, int localPort)
      throws IOException {
    return connected(new InetSocketAddress(host, port));
  }

  private static Socket connected(InetSocketAddress address) throws IOException {
    Socket socket = new BackendSocket();
    try {
      socket.connect(address, 0);
      return socket;
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }
}
