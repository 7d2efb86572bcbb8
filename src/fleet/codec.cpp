#include "fleet/codec.hpp"

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

namespace topazweir::fleet {

namespace {

using membership::Message, membership::Record;

constexpr std::string_view kMagic = "tw";
constexpr std::uint32_t kMessageFields = 11;
constexpr std::uint32_t kRecordFields = 9;
constexpr std::uint32_t kLoadFields = 2;
constexpr std::uint32_t kMaxFields = 32;  // of an array: leaves room for later versions
constexpr std::size_t kMaxDepth = 8;

void pack(msgpack::packer<msgpack::sbuffer>& out, const Record& record) {
  out.pack_array(kRecordFields);
  out.pack(record.name);
  out.pack(record.address);
  out.pack(record.zone);
  out.pack(record.version);
  out.pack(record.by);
  out.pack(record.incarnation);
  out.pack(static_cast<int>(record.state));
  out.pack(record.published.revision);
  out.pack(static_cast<int>(record.published.duty));
}

// Reads the elements of an array in order. Throws msgpack::type_error if one does not fit; decode() catches
// it.
class Fields {
 public:
  Fields(const msgpack::object& object, std::uint32_t minSize) : object_(object) {
    if (object.type != msgpack::type::ARRAY || object.via.array.size < minSize) throw msgpack::type_error();
  }
  const msgpack::object& next() { return object_.via.array.ptr[at_++]; }
  std::string text() {
    auto out = next().as<std::string>();
    if (out.size() > membership::kMostText) throw msgpack::type_error();
    return out;
  }
  // An enumerator, of which there are `count`.
  template <class Enum>
  Enum enumerator(std::size_t count) {
    const auto value = next().as<std::uint64_t>();
    if (value >= count) throw msgpack::type_error();
    return static_cast<Enum>(value);
  }

 private:
  const msgpack::object& object_;
  std::uint32_t at_ = 0;
};

Record readRecord(const msgpack::object& object) {
  Fields fields(object, kRecordFields);
  Record record;
  record.name = fields.text();
  record.address = fields.text();
  record.zone = fields.text();
  record.version = fields.text();
  record.by = fields.text();
  record.incarnation = fields.next().as<std::uint64_t>();
  record.state = fields.enumerator<membership::State>(std::size(membership::kStateNames));
  record.published.revision = fields.next().as<std::uint64_t>();
  record.published.duty = fields.enumerator<membership::Duty>(std::size(membership::kDutyNames));
  if (record.name.empty()) throw msgpack::type_error();
  return record;
}

Message readMessage(Fields& fields) {
  Message message;
  message.kind = fields.enumerator<membership::Kind>(membership::kKinds);
  message.sender = fields.text();
  message.from = fields.text();
  message.about = fields.text();
  message.sequence = fields.next().as<std::uint64_t>();
  Fields load(fields.next(), kLoadFields);
  message.load.open = load.next().as<std::uint32_t>();
  message.load.refusedPermille = load.next().as<std::uint32_t>();
  const auto& records = fields.next();
  if (records.type != msgpack::type::ARRAY) throw msgpack::type_error();
  for (std::uint32_t i = 0; i < records.via.array.size; ++i)
    message.news.push_back(readRecord(records.via.array.ptr[i]));
  message.payload = fields.next().as<std::string>();
  return message;
}

}  // namespace

std::string encode(const Message& message, std::string_view fleet) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> out(buffer);
  out.pack_array(kMessageFields);
  out.pack(kMagic);
  out.pack(kFormatVersion);
  out.pack(fleet);
  out.pack(static_cast<int>(message.kind));
  out.pack(message.sender);
  out.pack(message.from);
  out.pack(message.about);
  out.pack(message.sequence);
  out.pack_array(kLoadFields);
  out.pack(message.load.open);
  out.pack(message.load.refusedPermille);
  out.pack_array(static_cast<std::uint32_t>(message.news.size()));
  for (const auto& record : message.news) pack(out, record);
  out.pack(message.payload);
  return {buffer.data(), buffer.size()};
}

std::variant<Message, DecodeError> decode(std::string_view bytes, std::string_view fleet) {
  try {
    std::size_t end = 0;
    const msgpack::unpack_limit limit(std::max<std::size_t>(kMaxFields, kMaxRecords), 0,
                                      kMaxStreamMessageBytes, 0, 0, kMaxDepth);
    const auto handle = msgpack::unpack(bytes.data(), bytes.size(), end, nullptr, nullptr, limit);
    if (end != bytes.size()) return DecodeError::broken;
    // Only the first three elements are the same in all format versions.
    Fields fields(handle.get(), 3);
    if (fields.text() != kMagic) return DecodeError::foreign;
    const bool sameVersion = fields.next().as<int>() == kFormatVersion;
    if (fields.text() != fleet) return DecodeError::foreign;
    if (!sameVersion) return DecodeError::otherVersion;
    if (handle.get().via.array.size < kMessageFields) return DecodeError::broken;
    auto message = readMessage(fields);
    message.size = bytes.size();
    return message;
  } catch (const std::exception&) {  // the library throws on truncated or too large input and on wrong types
    return DecodeError::broken;
  }
}

std::string framed(std::string_view message) {
  std::string out(kFrameHead, '\0');
  for (std::size_t i = 0; i < kFrameHead; ++i)
    out[i] = static_cast<char>(message.size() >> (8 * (kFrameHead - 1 - i)) & 255);
  return out.append(message);
}

std::size_t messageLength(std::string_view stream) {
  if (stream.size() < kFrameHead) return std::string_view::npos;
  std::size_t out = 0;
  for (std::size_t i = 0; i < kFrameHead; ++i) out = out << 8 | static_cast<unsigned char>(stream[i]);
  return out;
}

}  // namespace topazweir::fleet
