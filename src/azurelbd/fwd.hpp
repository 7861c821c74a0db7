#pragma once

namespace azurelb {

class daemon;
class departure_tracker;
class peer_directory;
class shutdown_sequence;

} // namespace azurelb
