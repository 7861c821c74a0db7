#pragma once

#include <azurelb_cli/fwd.hpp>

#include <azurelb/wire/config.pb.h>

#include <google/protobuf/message.h>

#include <string_view>

namespace azurelb::cli {

/** Throws command_error with the status and detail if the response is an HTTP error. */
void requireSuccess(const call_result &answer);

/** Parses the response's JSON. Throws command_error if it is an HTTP error or malformed. */
void parseResponse(const call_result &answer, google::protobuf::Message &message);

/** Sends a GET and parses the response. Throws command_error. */
void fetch(const daemon_client &client, std::string_view path, google::protobuf::Message &message);

/** The configuration in force on the daemon. Throws command_error. */
[[nodiscard]] wire::config_document fetchConfig(const daemon_client &client);

/** Prints the message as JSON, including fields with default values. */
void printJson(const google::protobuf::Message &message);

} // namespace azurelb::cli
