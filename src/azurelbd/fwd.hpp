#pragma once

namespace azurelb {

class daemon_process;
class departure_tracker;
class peer_directory;
class shutdown_sequence;

} // namespace azurelb
