#ifndef TOUCANRIDGE_JSON_P_H
#define TOUCANRIDGE_JSON_P_H

/// Parses JSON, reads members with their types checked, and writes JSON.

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <tl/expected.hpp>

namespace toucanridge {

using Json = rapidjson::Value;
using JsonDocument = rapidjson::Document;

/// Parses without recursion, so that nested input can't exhaust the stack.
/// @returns the document, or an error message with the byte offset
tl::expected<JsonDocument, std::string>
parseJson(std::string_view aText);

/// @returns a member, null when it is absent or the value isn't an object
const Json*
jsonMember(const Json& aObject, const char* aName);

/// @returns a text member, empty when it is absent or of another type
std::string
jsonText(const Json& aObject, const char* aName);

/// @returns a number member, the default when it is absent or of another type
double
jsonNumber(const Json& aObject, const char* aName, double aDefault);

/// @returns an unsigned member, zero when it is absent or of another type
std::uint64_t
jsonUnsigned(const Json& aObject, const char* aName);

/// @returns an array member; empty when it is absent or of another type
Json::ConstArray
jsonArray(const Json& aObject, const char* aName);

/// @returns a value as JSON text
std::string
jsonSerialize(const Json& aValue);

/// @returns a member as text for a table, a dash when it is absent
std::string
jsonCell(const Json& aObject, const char* aName);

/// Writes JSON text. Each begin needs its end; inside an object use the methods
/// that take a name, inside an array those that don't.
class JsonWriter
{
public:
  void beginObject() { m_writer.StartObject(); }
  void beginObject(std::string_view aName)
  {
    key(aName);
    m_writer.StartObject();
  }
  void endObject() { m_writer.EndObject(); }
  void beginArray() { m_writer.StartArray(); }
  void beginArray(std::string_view aName)
  {
    key(aName);
    m_writer.StartArray();
  }
  void endArray() { m_writer.EndArray(); }

  void text(std::string_view aName, std::string_view aValue)
  {
    key(aName);
    element(aValue);
  }
  template<class T>
  void number(std::string_view aName, T aValue)
  {
    key(aName);
    if constexpr (std::is_floating_point_v<T>) {
      m_writer.Double(aValue);
    } else if constexpr (std::is_signed_v<T>) {
      m_writer.Int64(aValue);
    } else {
      m_writer.Uint64(aValue);
    }
  }
  void flag(std::string_view aName, bool aValue)
  {
    key(aName);
    m_writer.Bool(aValue);
  }
  void element(std::string_view aValue)
  {
    m_writer.String(aValue.data(),
                    static_cast<rapidjson::SizeType>(aValue.size()));
  }

  std::string str() const
  {
    return { m_buffer.GetString(), m_buffer.GetSize() };
  }

private:
  void key(std::string_view aName)
  {
    m_writer.Key(aName.data(), static_cast<rapidjson::SizeType>(aName.size()));
  }

  rapidjson::StringBuffer m_buffer;
  rapidjson::Writer<rapidjson::StringBuffer> m_writer{ m_buffer };
};

} // namespace toucanridge

#endif // TOUCANRIDGE_JSON_P_H
