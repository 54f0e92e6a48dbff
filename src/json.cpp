#include "json_p.h"

#include <rapidjson/error/en.h>

namespace toucanridge {

tl::expected<JsonDocument, std::string>
parseJson(std::string_view aText)
{
  JsonDocument document;
  document.Parse<rapidjson::kParseIterativeFlag>(aText.data(), aText.size());
  if (document.HasParseError()) {
    return tl::make_unexpected(
      std::string(rapidjson::GetParseError_En(document.GetParseError())) +
      " at byte " + std::to_string(document.GetErrorOffset()));
  }
  return document;
}

const Json*
jsonMember(const Json& aObject, const char* aName)
{
  if (!aObject.IsObject()) {
    return nullptr;
  }
  const auto found = aObject.FindMember(aName);
  return found == aObject.MemberEnd() ? nullptr : &found->value;
}

std::string
jsonText(const Json& aObject, const char* aName)
{
  const Json* value = jsonMember(aObject, aName);
  return value != nullptr && value->IsString()
           ? std::string(value->GetString(), value->GetStringLength())
           : std::string();
}

double
jsonNumber(const Json& aObject, const char* aName, double aDefault)
{
  const Json* value = jsonMember(aObject, aName);
  return value != nullptr && value->IsNumber() ? value->GetDouble() : aDefault;
}

std::uint64_t
jsonUnsigned(const Json& aObject, const char* aName)
{
  const Json* value = jsonMember(aObject, aName);
  return value != nullptr && value->IsUint64() ? value->GetUint64() : 0;
}

Json::ConstArray
jsonArray(const Json& aObject, const char* aName)
{
  static const Json sEmpty(rapidjson::kArrayType);
  const Json* value = jsonMember(aObject, aName);
  return value != nullptr && value->IsArray() ? value->GetArray()
                                              : sEmpty.GetArray();
}

std::string
jsonSerialize(const Json& aValue)
{
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  aValue.Accept(writer);
  return { buffer.GetString(), buffer.GetSize() };
}

std::string
jsonCell(const Json& aObject, const char* aName)
{
  const Json* value = jsonMember(aObject, aName);
  if (value == nullptr) {
    return "-";
  }
  return value->IsString() ? jsonText(aObject, aName) : jsonSerialize(*value);
}

} // namespace toucanridge
