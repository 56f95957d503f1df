#include "entry_control.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace briarvane
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// One health check. The completion handlers own the object, so it exists until `done` has been called.
struct Check : std::enable_shared_from_this<Check>
{
    Check(asio::io_context &io, std::function<void(bool)> callback)
        : stream(io)
        , done(std::move(callback))
    {
    }

    void finish(bool healthy)
    {
        beast::error_code ignored;
        stream.socket().close(ignored);
        done(healthy);
    }

    void send()
    {
        request.method(http::verb::get);
        request.target("/");
        request.set(http::field::host, "health");
        request.set(http::field::connection, "close");
        http::async_write(stream, request, [self = shared_from_this()](beast::error_code error, std::size_t) {
            if (error) {
                self->finish(false);
                return;
            }
            http::async_read_header(self->stream, self->buffer, self->parser,
                                    [self](beast::error_code readError, std::size_t) {
                                        constexpr unsigned firstServerError = 500;
                                        self->finish(!readError && self->parser.get().result_int() < firstServerError);
                                    });
        });
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    http::request<http::empty_body> request;
    http::response_parser<http::buffer_body> parser;
    std::function<void(bool)> done;
};

}

void checkInstance(asio::io_context &io, const std::string &address, std::uint16_t port, Duration timeout,
                   std::function<void(bool)> done)
{
    auto check = std::make_shared<Check>(io, std::move(done));
    check->stream.expires_after(timeout);
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (error) {
        asio::post(io, [check] { check->finish(false); });
        return;
    }
    check->stream.async_connect(asio::ip::tcp::endpoint(ip, port), [check](beast::error_code connectError) {
        if (connectError) {
            check->finish(false);
        } else {
            check->send();
        }
    });
}

}
