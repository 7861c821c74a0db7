#pragma once

#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>

#include <string>

namespace azurelb::standin {

/** Parses JSON into the message, ignoring unknown fields. Returns false if it is malformed. */
[[nodiscard]] inline bool fromJson(const std::string &text, google::protobuf::Message &message)
{
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    const std::string &given = text.empty() ? std::string{"{}"} : text;
    return google::protobuf::util::JsonStringToMessage(given, &message, options).ok();
}

/** Serializes the message as JSON with the field names of the schema. */
[[nodiscard]] inline std::string toJson(const google::protobuf::Message &message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    std::string text;
    (void)google::protobuf::util::MessageToJsonString(message, &text, options);
    return text;
}

} // namespace azurelb::standin
