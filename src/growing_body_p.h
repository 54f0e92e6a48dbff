#ifndef TOUCANRIDGE_GROWING_BODY_P_H
#define TOUCANRIDGE_GROWING_BODY_P_H

/// Body of an HTTP message that is being received.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace toucanridge {

/// A body in a string that grows with what is received. The string_body of the
/// parser allocates the announced length at once, whether or not it follows.
struct GrowingBody
{
  using value_type = std::string;
  /// Most of an announced length that is allocated before it is received.
  static constexpr std::size_t kReservedBytes = 65536;

  class reader // NOLINT(readability-identifier-naming): named by the parser
  {
  public:
    template<bool isRequest, class Fields>
    reader(boost::beast::http::header<isRequest, Fields>& /*aHead*/,
           value_type& aBody)
      : m_body(aBody)
    {
    }
    void init(const boost::optional<std::uint64_t>& aLength,
              boost::system::error_code& aError)
    {
      aError = {};
      m_body.reserve(static_cast<std::size_t>(
        std::min<std::uint64_t>(aLength.value_or(0), kReservedBytes)));
    }
    template<class Buffers>
    std::size_t put(const Buffers& aBuffers, boost::system::error_code& aError)
    {
      aError = {};
      const std::size_t size = m_body.size();
      makeRoom(size + boost::asio::buffer_size(aBuffers));
      for (auto it = boost::asio::buffer_sequence_begin(aBuffers);
           it != boost::asio::buffer_sequence_end(aBuffers);
           ++it) {
        const boost::asio::const_buffer part = *it;
        m_body.append(static_cast<const char*>(part.data()), part.size());
      }
      return m_body.size() - size;
    }
    void finish(boost::system::error_code& aError) { aError = {}; }

  private:
    /// Grows by an eighth where the string itself would double its memory.
    void makeRoom(std::size_t aBytes)
    {
      const std::size_t held = m_body.capacity();
      if (aBytes > held) {
        value_type larger;
        larger.reserve(std::max(aBytes, held + held / 8));
        larger.append(m_body);
        m_body.swap(larger);
      }
    }

    value_type& m_body;
  };
};

} // namespace toucanridge

#endif // TOUCANRIDGE_GROWING_BODY_P_H
