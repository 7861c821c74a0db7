#pragma once

#include <azurelb_cli/fwd.hpp>

#include <azurelb/wire/config.pb.h>

#include <google/protobuf/message.h>

#include <string_view>

namespace azurelb::cli {

/** Throws command_error if the answer is an error; the message is the problem's detail. */
void requireSuccess(const call_result &answer);

/** Reads the answer's JSON into a message. Throws command_error if it is an error. */
void parseResponse(const call_result &answer, google::protobuf::Message &message);

/** Reads a path into a message. */
void fetch(const daemon_client &client, std::string_view path, google::protobuf::Message &message);

/** The configuration that the daemon has in force. */
[[nodiscard]] wire::config_document fetchConfig(const daemon_client &client);

/** Prints the message as JSON, with every field. */
void printJson(const google::protobuf::Message &message);

} // namespace azurelb::cli
