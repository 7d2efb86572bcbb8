// Parser of the HCL subset for operator files, as a PEGTL grammar. Its actions build the tree bottom-up: each
// finished value is added to the innermost open container, the top of a stack.
#include <charconv>
#include <cmath>
#include <optional>
#include <tao/pegtl.hpp>

#include "config/tree.hpp"

namespace topazweir::config {

namespace {

namespace peg = tao::pegtl;

constexpr std::size_t kMaxNesting = 32;  // containers within containers; bounds the grammar's recursion
constexpr std::size_t kMaxFileBytes = 1024 * 1024;

// ---- building the tree ----

// A list or object whose end has not been read yet.
struct OpenContainer {
  Node node;
  Member next;  // objects only: the key whose value is read next
};

// The state of the parser's actions.
struct Builder {
  std::vector<OpenContainer> stack;
  std::string text;  // the string being read, unescaped
  Position textPosition;
  std::string type;  // of the block whose labels are being read
  Position typePosition;
  std::vector<std::string> labels;

  template <class Input>
  static Position positionOf(const Input& in) {
    return {in.position().line, in.position().column};
  }
  template <class Input>
  [[noreturn]] static void fail(const Input& in, const std::string& what) {
    throw peg::parse_error(what, in);
  }
  // Opens a list or object.
  template <class Input>
  void open(const Input& in, Node node) {
    if (stack.size() >= kMaxNesting) fail(in, "nested too deeply");
    node.position = positionOf(in);
    stack.push_back({std::move(node), {}});
  }
  // Adds a value to the innermost container. Returns false if the object has the key already.
  bool add(Node node) {
    OpenContainer& top = stack.back();
    if (auto* list = std::get_if<Node::List>(&top.node.value)) {
      list->push_back(std::move(node));
      return true;
    }
    auto& object = std::get<Node::Object>(top.node.value);
    for (const auto& m : object)
      if (m.key == top.next.key) return false;
    top.next.value = std::move(node);
    object.push_back(std::move(top.next));
    top.next = {};
    return true;
  }
  // As add(), but throws for a duplicate key.
  template <class Input>
  void addUnique(const Input& in, Node node) {
    const auto key = stack.back().next.key;
    if (!add(std::move(node))) fail(in, "key " + key + ": given twice");
  }
  // Closes the innermost list or object and adds it to the one around it.
  template <class Input>
  void close(const Input& in) {
    Node done = std::move(stack.back().node);
    stack.pop_back();
    addUnique(in, std::move(done));
  }
  // Sets the key of the next value.
  void setKey(std::string key, Position position) { stack.back().next = {std::move(key), position, {}}; }

  // Opens a block as an object; its label becomes the member "name".
  template <class Input>
  void openBlock(const Input& in) {
    Node::Object body;
    if (labels.size() > 1) fail(in, "block " + type + ": more than one label");
    if (!labels.empty()) body.push_back({"name", typePosition, Node{labels.front(), typePosition}});
    setKey(type, typePosition);
    open(in, Node{std::move(body), {}});
    labels.clear();
  }
  // Appends the block to the list under its type.
  template <class Input>
  void closeBlock(const Input& in) {
    Node done = std::move(stack.back().node);
    stack.pop_back();
    OpenContainer& parent = stack.back();
    for (auto& m : std::get<Node::Object>(parent.node.value)) {
      if (m.key != parent.next.key) continue;
      auto* list = std::get_if<Node::List>(&m.value.value);
      if (!list || list->empty() || !list->front().isObject())
        fail(in, "key " + m.key + ": given twice, as a block and as an attribute");
      return list->push_back(std::move(done));
    }
    const Position position = done.position;
    addUnique(in, Node{Node::List{std::move(done)}, position});
  }
};

void appendUtf8(std::string& out, std::uint32_t code) {
  const auto byte = [&](std::uint32_t bits) { out += static_cast<char>(bits); };
  if (code < 0x80) {
    byte(code);
  } else if (code < 0x800) {
    byte(0xC0 | code >> 6);
    byte(0x80 | (code & 0x3F));
  } else if (code < 0x10000) {
    byte(0xE0 | code >> 12);
    byte(0x80 | (code >> 6 & 0x3F));
    byte(0x80 | (code & 0x3F));
  } else {
    byte(0xF0 | code >> 18);
    byte(0x80 | (code >> 12 & 0x3F));
    byte(0x80 | (code >> 6 & 0x3F));
    byte(0x80 | (code & 0x3F));
  }
}

// ---- the grammar ----

struct LineComment
    : peg::seq<peg::sor<peg::one<'#'>, peg::string<'/', '/'>>, peg::until<peg::at<peg::eolf>>> {};
struct CommentEnd : peg::until<peg::string<'*', '/'>> {};
struct BlockComment : peg::if_must<peg::string<'/', '*'>, CommentEnd> {};
struct Blank : peg::sor<peg::one<' ', '\t'>, BlockComment> {};
struct Blanks : peg::star<Blank> {};
struct Line : peg::sor<peg::eol, peg::seq<LineComment, peg::opt<peg::eol>>> {};
struct Space : peg::star<peg::sor<Blank, Line>> {};  // includes newlines

struct Identifier
    : peg::seq<peg::sor<peg::alpha, peg::one<'_'>>, peg::star<peg::sor<peg::alnum, peg::one<'_', '-'>>>> {};
struct KeyIdentifier : Identifier {};
struct EntryName : Identifier {};  // key of an attribute or type of a block
struct LabelIdentifier : Identifier {};

struct ShortEscape : peg::one<'n', 'r', 't', '"', '\\'> {};
struct Unicode4 : peg::rep<4, peg::xdigit> {};
struct Unicode8 : peg::rep<8, peg::xdigit> {};
struct EscapeRest
    : peg::sor<ShortEscape, peg::seq<peg::one<'u'>, Unicode4>, peg::seq<peg::one<'U'>, Unicode8>> {};
struct Escape : peg::if_must<peg::one<'\\'>, EscapeRest> {};
// "$${" and "%%{" stand for the characters "${" and "%{".
struct TemplateEscape : peg::sor<peg::string<'$', '$', '{'>, peg::string<'%', '%', '{'>> {};
struct NoTemplate : peg::not_at<peg::sor<peg::string<'$', '{'>, peg::string<'%', '{'>>> {};
struct PlainChar : peg::not_one<'"', '\\', '\n', '\r', '\0'> {};
struct Char : peg::sor<Escape, TemplateEscape, peg::seq<peg::must<NoTemplate>, PlainChar>> {};
struct QuoteOpen : peg::one<'"'> {};
struct QuoteClose : peg::one<'"'> {};
struct QuotedString
    : peg::seq<QuoteOpen, peg::star<peg::not_at<peg::one<'"'>>, Char>, peg::must<QuoteClose>> {};

struct Digits : peg::plus<peg::digit> {};
struct Number : peg::seq<peg::opt<peg::one<'-'>>, Digits, peg::opt<peg::one<'.'>, Digits>,
                         peg::opt<peg::one<'e', 'E'>, peg::opt<peg::one<'+', '-'>>, Digits>,
                         peg::not_at<peg::sor<peg::alnum, peg::one<'_', '.'>>>> {};
template <char... C>
struct Keyword
    : peg::seq<peg::string<C...>, peg::not_at<peg::sor<peg::alnum, peg::one<'_', '-', '.', '('>>>> {};
struct True : Keyword<'t', 'r', 'u', 'e'> {};
struct False : Keyword<'f', 'a', 'l', 's', 'e'> {};
struct Null : Keyword<'n', 'u', 'l', 'l'> {};

struct Value;
struct Text : QuotedString {};
struct ListOpen : peg::one<'['> {};
struct ListClose : peg::one<']'> {};
struct ListItems : peg::opt<peg::list_tail<Value, peg::one<','>, peg::sor<Blank, Line>>> {};
struct List : peg::if_must<ListOpen, Space, ListItems, Space, ListClose> {};
struct KeyText : QuotedString {};
struct ObjectOpen : peg::one<'{'> {};
struct ObjectClose : peg::one<'}'> {};
struct Equals : peg::one<'=', ':'> {};
struct ItemEnd : peg::sor<peg::seq<Blanks, peg::one<','>>, peg::seq<Blanks, Line>,
                          peg::seq<Blanks, peg::at<ObjectClose>>> {};
struct Item : peg::if_must<peg::sor<KeyIdentifier, KeyText>, Blanks, Equals, Space, Value, ItemEnd> {};
struct Object : peg::if_must<ObjectOpen, Space, peg::star<Item, Space>, ObjectClose> {};
struct Value : peg::sor<Text, Number, True, False, Null, List, Object> {};

struct Body;
struct LineEnd : peg::seq<Blanks, peg::sor<Line, peg::eof>> {};
struct Attribute : peg::if_must<peg::one<'='>, Blanks, Value> {};
struct LabelText : QuotedString {};
struct Label : peg::sor<LabelText, LabelIdentifier> {};
struct BlockOpen : peg::one<'{'> {};
struct BlockClose : peg::one<'}'> {};
struct BlockRest : peg::seq<peg::star<Label, Blanks>, peg::must<BlockOpen>, Body, peg::must<BlockClose>> {};
struct Entry : peg::seq<EntryName, Blanks, peg::sor<Attribute, BlockRest>> {};
struct EntryEnd : peg::sor<LineEnd, peg::seq<Blanks, peg::at<BlockClose>>> {};
struct Body : peg::seq<Space, peg::star<Entry, peg::must<EntryEnd>, Space>> {};
struct EndOfFile : peg::eof {};
struct File : peg::seq<Body, peg::must<EndOfFile>> {};

// ---- error messages ----

template <class Rule>
inline constexpr const char* kMessage = "malformed";
template <>
inline constexpr const char* kMessage<CommentEnd> = "a comment /* that never ends";
template <>
inline constexpr const char* kMessage<EscapeRest> = "an unknown escape in a string";
template <>
inline constexpr const char* kMessage<NoTemplate> =
    "templates are not supported: write $${ or %%{ for the characters";
template <>
inline constexpr const char* kMessage<QuoteClose> = "a string that never ends";
template <>
inline constexpr const char* kMessage<ListClose> = "expected a value, ',' or ']'";
template <>
inline constexpr const char* kMessage<Equals> = "expected '=' after the key";
template <>
inline constexpr const char* kMessage<Value> = "expected a text, number, true, false, null, [ or {";
template <>
inline constexpr const char* kMessage<ItemEnd> = "expected ',', a new line or '}' after the value";
template <>
inline constexpr const char* kMessage<ObjectClose> = "expected a key or '}'";
template <>
inline constexpr const char* kMessage<BlockOpen> = "expected '=', a label or '{' after the name";
template <>
inline constexpr const char* kMessage<BlockClose> = "expected a name or '}'";
template <>
inline constexpr const char* kMessage<EntryEnd> = "expected a new line after the value";
template <>
inline constexpr const char* kMessage<EndOfFile> = "expected a name";

// The names of the members are prescribed by PEGTL's must_if.
// NOLINTBEGIN(readability-identifier-naming)
struct Messages {
  template <class Rule>
  static constexpr auto message = kMessage<Rule>;
  template <class Rule>
  static constexpr bool raise_on_failure = false;  // failures are errors only at `must` rules
};
// NOLINTEND(readability-identifier-naming)
template <class Rule>
using Control = peg::must_if<Messages>::control<Rule>;

// ---- actions ----

template <class Rule>
struct Action : peg::nothing<Rule> {};

#define TOPAZWEIR_ACTION(RULE)                      \
  template <>                                       \
  struct Action<RULE> {                             \
    template <class Input>                          \
    static void apply(const Input& in, Builder& b); \
  };                                                \
  template <class Input>                            \
  void Action<RULE>::apply([[maybe_unused]] const Input& in, [[maybe_unused]] Builder& b)

TOPAZWEIR_ACTION(KeyIdentifier) { b.setKey(in.string(), b.positionOf(in)); }
TOPAZWEIR_ACTION(KeyText) { b.setKey(std::move(b.text), b.textPosition); }
TOPAZWEIR_ACTION(EntryName) {
  b.type = in.string();
  b.typePosition = b.positionOf(in);
  b.setKey(b.type, b.typePosition);
}
TOPAZWEIR_ACTION(LabelIdentifier) { b.labels.push_back(in.string()); }
TOPAZWEIR_ACTION(LabelText) { b.labels.push_back(std::move(b.text)); }
TOPAZWEIR_ACTION(QuoteOpen) {
  b.text.clear();
  b.textPosition = b.positionOf(in);
}
TOPAZWEIR_ACTION(PlainChar) { b.text += *in.begin(); }
TOPAZWEIR_ACTION(TemplateEscape) { b.text.append(in.begin() + 1, in.end()); }
TOPAZWEIR_ACTION(ShortEscape) {
  const char c = *in.begin();
  b.text += c == 'n' ? '\n' : c == 'r' ? '\r' : c == 't' ? '\t' : c;
}
template <class Input>
void appendCodePoint(const Input& in, Builder& b) {
  std::uint32_t code = 0;
  std::from_chars(in.begin(), in.end(), code, 16);
  if (code > 0x10FFFF || (code >= 0xD800 && code <= 0xDFFF)) b.fail(in, "not a Unicode character");
  appendUtf8(b.text, code);
}
TOPAZWEIR_ACTION(Unicode4) { appendCodePoint(in, b); }
TOPAZWEIR_ACTION(Unicode8) { appendCodePoint(in, b); }
TOPAZWEIR_ACTION(Text) { b.addUnique(in, Node{std::move(b.text), b.textPosition}); }
TOPAZWEIR_ACTION(True) { b.addUnique(in, Node{true, b.positionOf(in)}); }
TOPAZWEIR_ACTION(False) { b.addUnique(in, Node{false, b.positionOf(in)}); }
TOPAZWEIR_ACTION(Null) { b.addUnique(in, Node{std::monostate{}, b.positionOf(in)}); }
TOPAZWEIR_ACTION(Number) {
  const auto text = in.string_view();
  std::int64_t integer = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), integer);
  if (error == std::errc{} && end == text.data() + text.size())
    return b.addUnique(in, Node{integer, b.positionOf(in)});
  double number = 0;
  const auto [stop, numberError] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (numberError != std::errc{} || !std::isfinite(number)) b.fail(in, "a number out of range");
  b.addUnique(in, Node{number, b.positionOf(in)});
}
TOPAZWEIR_ACTION(ListOpen) { b.open(in, Node{Node::List{}, {}}); }
TOPAZWEIR_ACTION(ListClose) { b.close(in); }
TOPAZWEIR_ACTION(ObjectOpen) { b.open(in, Node{Node::Object{}, {}}); }
TOPAZWEIR_ACTION(ObjectClose) { b.close(in); }
TOPAZWEIR_ACTION(BlockOpen) { b.openBlock(in); }
TOPAZWEIR_ACTION(BlockClose) { b.closeBlock(in); }

#undef TOPAZWEIR_ACTION

}  // namespace

Node readHcl(std::string_view text, const std::string& file) {
  if (text.size() > kMaxFileBytes) throw ConfigError(file + ": larger than 1 MiB");
  Builder builder;
  builder.stack.push_back({Node{Node::Object{}, {1, 1}}, {}});
  peg::memory_input<peg::tracking_mode::eager, peg::eol::lf_crlf> in(text.data(), text.size(), file);
  try {
    peg::parse<File, Action, Control>(in, builder);
  } catch (const peg::parse_error& error) {
    const auto& at = error.positions().front();
    throw ConfigError(file + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " +
                      std::string(error.message()));
  }
  return std::move(builder.stack.front().node);
}

}  // namespace topazweir::config
