#include "systems/entry/store_keys.h"

namespace quetzalline {
namespace {

const char kRoot[] = "quetzalline/";

}  // namespace

std::string ConfigurationPrefix() { return std::string(kRoot) + "config/"; }

std::string ServiceKey(const ServiceName& service) {
  return ConfigurationPrefix() + service.value();
}

// The "/latest" at the end keeps one bucket's key from being a prefix of
// another's.
std::string KeyBucketKey(std::int32_t bucket) {
  return std::string(kRoot) + "keys/" + std::to_string(bucket) + "/latest";
}

std::string CellPrefix(const std::string& cell) {
  return std::string(kRoot) + "cells/" + cell + "/";
}

std::string LeaseKey(const std::string& cell) {
  return CellPrefix(cell) + "lease";
}

std::string JournalPrefix(const std::string& cell) {
  return CellPrefix(cell) + "journal/";
}

std::string JournalSlotKey(const std::string& cell, std::uint64_t slot) {
  return JournalPrefix(cell) + "slot-" + std::to_string(slot);
}

std::string SnapshotKey(const std::string& cell) {
  return JournalPrefix(cell) + "snapshot";
}

}  // namespace quetzalline
