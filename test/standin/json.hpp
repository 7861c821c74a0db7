#pragma once

#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>

#include <string>

namespace azurelb::standin {

/** Whether the text is JSON for that message; the message is then filled from it. */
[[nodiscard]] inline bool fromJson(const std::string &text, google::protobuf::Message &message)
{
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    const std::string &given = text.empty() ? std::string{"{}"} : text;
    return google::protobuf::util::JsonStringToMessage(given, &message, options).ok();
}

/** The message as JSON under the field names of its schema. */
[[nodiscard]] inline std::string toJson(const google::protobuf::Message &message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    std::string text;
    (void)google::protobuf::util::MessageToJsonString(message, &text, options);
    return text;
}

} // namespace azurelb::standin
