#include <azurelb/wire/platform.pb.h>
#include <azurelb_cli/call_result.hpp>
#include <azurelb_cli/command_error.hpp>
#include <azurelb_cli/daemon_client.hpp>
#include <azurelb_cli/json_messages.hpp>

#include <google/protobuf/util/json_util.h>

#include <iostream>

namespace azurelb::cli {

namespace json = google::protobuf::util;

namespace {

constexpr unsigned firstErrorStatus = 400;

json::JsonParseOptions parseOptions()
{
    json::JsonParseOptions options;
    // A newer daemon may send more fields.
    options.ignore_unknown_fields = true;
    return options;
}

} // namespace

void requireSuccess(const call_result &answer)
{
    if (answer.status < firstErrorStatus)
        return;
    wire::problem problem;
    const auto read = json::JsonStringToMessage(answer.body, &problem, parseOptions());
    const exit_code code = problem.run() == "unknown" ? exit_code::unknown : exit_code::refused;
    const std::string reason = read.ok() ? problem.detail() : answer.body;
    throw command_error{code, std::to_string(answer.status) + ": " + reason};
}

void parseResponse(const call_result &answer, google::protobuf::Message &message)
{
    requireSuccess(answer);
    const auto read = json::JsonStringToMessage(answer.body, &message, parseOptions());
    if (!read.ok())
        throw command_error{exit_code::unknown,
                            "the daemon's response is not valid JSON of the expected type"};
}

void fetch(const daemon_client &client, std::string_view path, google::protobuf::Message &message)
{
    parseResponse(client.get(path), message);
}

wire::config_document fetchConfig(const daemon_client &client)
{
    wire::config_document config;
    fetch(client, "/v1/config", config);
    return config;
}

void printJson(const google::protobuf::Message &message)
{
    json::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = true;
    options.add_whitespace = true;
    std::string text;
    (void)json::MessageToJsonString(message, &text, options);
    std::cout << text;
}

} // namespace azurelb::cli
