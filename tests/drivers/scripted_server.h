#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <string>
#include <thread>

namespace hibiscusspool {

/** A server on a loopback port whose connections are served by a function on a
 * thread of its own. */
class scripted_server
{
public:
  using socket = boost::asio::ip::tcp::socket;

private:
  boost::asio::io_context mContext;
  boost::asio::ip::tcp::acceptor mAcceptor{
    mContext,
    { boost::asio::ip::make_address("127.0.0.1"), 0 }
  };
  std::thread mThread;

public:
  /** Serves `aConnections` connections, one after the other. */
  scripted_server(int aConnections, std::function<void(socket&)> aScript)
    : mThread([this, aConnections, script = std::move(aScript)] {
      for (int number = 0; number < aConnections; ++number) {
        boost::system::error_code error;
        socket peer = mAcceptor.accept(error);
        if (error) {
          return;
        }
        script(peer);
      }
    })
  {
  }
  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;
  ~scripted_server()
  {
    // Wakes an accept that still waits, and ends the connection at once.
    {
      boost::system::error_code ignored;
      socket last(mContext);
      last.connect(mAcceptor.local_endpoint(), ignored);
    }
    mThread.join();
  }

  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

  /** Reads the head of one request; empty at the end of the connection. */
  static std::string ReadHead(socket& aPeer)
  {
    boost::system::error_code error;
    boost::asio::streambuf buffer;
    std::size_t size =
      boost::asio::read_until(aPeer, buffer, "\r\n\r\n", error);
    std::string head(boost::asio::buffers_begin(buffer.data()),
                     boost::asio::buffers_begin(buffer.data()) +
                       static_cast<std::ptrdiff_t>(size));
    return head;
  }

  /** Writes bytes; false if the peer has closed the connection. */
  static bool Write(socket& aPeer, const std::string& aBytes)
  {
    boost::system::error_code error;
    boost::asio::write(aPeer, boost::asio::buffer(aBytes), error);
    return !error;
  }
};

}
