// The grammar of operator files. PEGTL's rules build the tree from the bottom: a value is put into the
// container that is open on top of the stack.
#include <charconv>
#include <cmath>
#include <optional>
#include <tao/pegtl.hpp>

#include "config/tree.hpp"

namespace topazweir::config {

namespace {

namespace peg = tao::pegtl;

constexpr std::size_t kDeepest = 32;           // containers in containers: the grammar recurses
constexpr std::size_t kLargest = 1024 * 1024;  // bytes of a file

// ---- what is built ----

struct Open {
  Node node;
  Member next;  // of an object: the key whose value comes
};

struct Builder {
  std::vector<Open> stack;
  std::string word;  // the identifier read last
  Mark wordAt;
  std::string text;  // of the string being read
  Mark textAt;
  std::string type;  // of the block whose labels are read
  Mark typeAt;
  std::vector<std::string> labels;

  template <class Input>
  static Mark at(const Input& in) {
    return {in.position().line, in.position().column};
  }
  template <class Input>
  [[noreturn]] static void fail(const Input& in, const std::string& what) {
    throw peg::parse_error(what, in);
  }
  template <class Input>
  void open(const Input& in, Node node) {
    if (stack.size() >= kDeepest) fail(in, "nested too deeply");
    node.mark = at(in);
    stack.push_back({std::move(node), {}});
  }
  // False: the key stands there already.
  bool put(Node node) {
    Open& top = stack.back();
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
  template <class Input>
  void place(const Input& in, Node node) {
    const auto key = stack.back().next.key;
    if (!put(std::move(node))) fail(in, "key " + key + ": given twice");
  }
  template <class Input>
  void close(const Input& in) {
    Node done = std::move(stack.back().node);
    stack.pop_back();
    place(in, std::move(done));
  }
  void expect(std::string key, Mark mark) { stack.back().next = {std::move(key), mark, {}}; }

  template <class Input>
  void openBlock(const Input& in) {
    Node::Object body;
    if (labels.size() > 1) fail(in, "block " + type + ": more than one label");
    if (!labels.empty()) body.push_back({"name", typeAt, Node{labels.front(), typeAt}});
    expect(type, typeAt);
    open(in, Node{std::move(body), {}});
    labels.clear();
  }
  template <class Input>
  void closeBlock(const Input& in) {
    Node done = std::move(stack.back().node);
    stack.pop_back();
    Open& parent = stack.back();
    for (auto& m : std::get<Node::Object>(parent.node.value)) {
      if (m.key != parent.next.key) continue;
      auto* list = std::get_if<Node::List>(&m.value.value);
      if (!list || list->empty() || !list->front().isObject())
        fail(in, "key " + m.key + ": given twice, as a block and as an attribute");
      return list->push_back(std::move(done));
    }
    const Mark mark = done.mark;
    place(in, Node{Node::List{std::move(done)}, mark});
  }
};

void appendUtf8(std::string& out, std::uint32_t code) {
  const auto byte = [&](std::uint32_t bits) { out += static_cast<char>(bits); };
  if (code < 0x80) {
    byte(code);
  } else if (code < 0x800) {
    byte(0xC0 | code >> 6), byte(0x80 | (code & 0x3F));
  } else if (code < 0x10000) {
    byte(0xE0 | code >> 12), byte(0x80 | (code >> 6 & 0x3F)), byte(0x80 | (code & 0x3F));
  } else {
    byte(0xF0 | code >> 18), byte(0x80 | (code >> 12 & 0x3F)), byte(0x80 | (code >> 6 & 0x3F));
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
struct Space : peg::star<peg::sor<Blank, Line>> {};  // where newlines do not count

struct Word
    : peg::seq<peg::sor<peg::alpha, peg::one<'_'>>, peg::star<peg::sor<peg::alnum, peg::one<'_', '-'>>>> {};
struct Name : Word {};
struct Type : Word {};
struct LabelWord : Word {};

struct ShortEscape : peg::one<'n', 'r', 't', '"', '\\'> {};
struct Unicode4 : peg::rep<4, peg::xdigit> {};
struct Unicode8 : peg::rep<8, peg::xdigit> {};
struct EscapeRest
    : peg::sor<ShortEscape, peg::seq<peg::one<'u'>, Unicode4>, peg::seq<peg::one<'U'>, Unicode8>> {};
struct Escape : peg::if_must<peg::one<'\\'>, EscapeRest> {};
struct Doubled : peg::sor<peg::string<'$', '$', '{'>, peg::string<'%', '%', '{'>> {};
struct NoTemplate : peg::not_at<peg::sor<peg::string<'$', '{'>, peg::string<'%', '{'>>> {};
struct Plain : peg::not_one<'"', '\\', '\n', '\r', '\0'> {};
struct Char : peg::sor<Escape, Doubled, peg::seq<peg::must<NoTemplate>, Plain>> {};
struct QuoteOpen : peg::one<'"'> {};
struct QuoteClose : peg::one<'"'> {};
struct Quoted : peg::seq<QuoteOpen, peg::star<peg::not_at<peg::one<'"'>>, Char>, peg::must<QuoteClose>> {};

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
struct Text : Quoted {};
struct ListOpen : peg::one<'['> {};
struct ListClose : peg::one<']'> {};
struct ListItems : peg::opt<peg::list_tail<Value, peg::one<','>, peg::sor<Blank, Line>>> {};
struct List : peg::if_must<ListOpen, Space, ListItems, Space, ListClose> {};
struct KeyText : Quoted {};
struct ObjectOpen : peg::one<'{'> {};
struct ObjectClose : peg::one<'}'> {};
struct Equals : peg::one<'=', ':'> {};
struct ItemEnd : peg::sor<peg::seq<Blanks, peg::one<','>>, peg::seq<Blanks, Line>,
                          peg::seq<Blanks, peg::at<ObjectClose>>> {};
struct Item : peg::if_must<peg::sor<Name, KeyText>, Blanks, Equals, Space, Value, ItemEnd> {};
struct Object : peg::if_must<ObjectOpen, Space, peg::star<Item, Space>, ObjectClose> {};
struct Value : peg::sor<Text, Number, True, False, Null, List, Object> {};

struct Body;
struct LineEnd : peg::seq<Blanks, peg::sor<Line, peg::eof>> {};
struct Attribute : peg::if_must<peg::one<'='>, Blanks, Value> {};
struct LabelText : Quoted {};
struct Label : peg::sor<LabelText, LabelWord> {};
struct BlockOpen : peg::one<'{'> {};
struct BlockClose : peg::one<'}'> {};
struct BlockRest : peg::seq<peg::star<Label, Blanks>, peg::must<BlockOpen>, Body, peg::must<BlockClose>> {};
struct Entry : peg::seq<Type, Blanks, peg::sor<Attribute, BlockRest>> {};
struct EntryEnd : peg::sor<LineEnd, peg::seq<Blanks, peg::at<BlockClose>>> {};
struct Body : peg::seq<Space, peg::star<Entry, peg::must<EntryEnd>, Space>> {};
struct End : peg::eof {};
struct File : peg::seq<Body, peg::must<End>> {};

// ---- what is said of a fault ----

template <class Rule>
inline constexpr const char* kSaid = "malformed";
template <>
inline constexpr const char* kSaid<CommentEnd> = "a comment /* that never ends";
template <>
inline constexpr const char* kSaid<EscapeRest> = "an unknown escape in a string";
template <>
inline constexpr const char* kSaid<NoTemplate> =
    "templates are not supported: write $${ or %%{ for the characters";
template <>
inline constexpr const char* kSaid<QuoteClose> = "a string that never ends";
template <>
inline constexpr const char* kSaid<ListClose> = "expected a value, ',' or ']'";
template <>
inline constexpr const char* kSaid<Equals> = "expected '=' after the key";
template <>
inline constexpr const char* kSaid<Value> = "expected a text, number, true, false, null, [ or {";
template <>
inline constexpr const char* kSaid<ItemEnd> = "expected ',', a new line or '}' after the value";
template <>
inline constexpr const char* kSaid<ObjectClose> = "expected a key or '}'";
template <>
inline constexpr const char* kSaid<BlockOpen> = "expected '=', a label or '{' after the name";
template <>
inline constexpr const char* kSaid<BlockClose> = "expected a name or '}'";
template <>
inline constexpr const char* kSaid<EntryEnd> = "expected a new line after the value";
template <>
inline constexpr const char* kSaid<End> = "expected a name";

struct Say {
  template <class Rule>
  static constexpr auto message = kSaid<Rule>;
  template <class Rule>
  static constexpr bool raise_on_failure = false;  // only where the grammar says must
};
template <class Rule>
using Control = peg::must_if<Say>::control<Rule>;

// ---- what each rule does ----

template <class Rule>
struct Action : peg::nothing<Rule> {};

#define TOPAZWEIR_ON(RULE)                          \
  template <>                                       \
  struct Action<RULE> {                             \
    template <class Input>                          \
    static void apply(const Input& in, Builder& b); \
  };                                                \
  template <class Input>                            \
  void Action<RULE>::apply([[maybe_unused]] const Input& in, [[maybe_unused]] Builder& b)

TOPAZWEIR_ON(Name) { b.expect(in.string(), b.at(in)); }
TOPAZWEIR_ON(KeyText) { b.expect(std::move(b.text), b.textAt); }
TOPAZWEIR_ON(Type) { b.type = in.string(), b.typeAt = b.at(in), b.expect(b.type, b.typeAt); }
TOPAZWEIR_ON(LabelWord) { b.labels.push_back(in.string()); }
TOPAZWEIR_ON(LabelText) { b.labels.push_back(std::move(b.text)); }
TOPAZWEIR_ON(QuoteOpen) { b.text.clear(), b.textAt = b.at(in); }
TOPAZWEIR_ON(Plain) { b.text += *in.begin(); }
TOPAZWEIR_ON(Doubled) { b.text.append(in.begin() + 1, in.end()); }
TOPAZWEIR_ON(ShortEscape) {
  const char c = *in.begin();
  b.text += c == 'n' ? '\n' : c == 'r' ? '\r' : c == 't' ? '\t' : c;
}
template <class Input>
void takeUnicode(const Input& in, Builder& b) {
  std::uint32_t code = 0;
  std::from_chars(in.begin(), in.end(), code, 16);
  if (code > 0x10FFFF || (code >= 0xD800 && code <= 0xDFFF)) b.fail(in, "not a Unicode character");
  appendUtf8(b.text, code);
}
TOPAZWEIR_ON(Unicode4) { takeUnicode(in, b); }
TOPAZWEIR_ON(Unicode8) { takeUnicode(in, b); }
TOPAZWEIR_ON(Text) { b.place(in, Node{std::move(b.text), b.textAt}); }
TOPAZWEIR_ON(True) { b.place(in, Node{true, b.at(in)}); }
TOPAZWEIR_ON(False) { b.place(in, Node{false, b.at(in)}); }
TOPAZWEIR_ON(Null) { b.place(in, Node{std::monostate{}, b.at(in)}); }
TOPAZWEIR_ON(Number) {
  const auto text = in.string_view();
  std::int64_t whole = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), whole);
  if (error == std::errc{} && end == text.data() + text.size()) return b.place(in, Node{whole, b.at(in)});
  double number = 0;
  const auto [stop, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (fault != std::errc{} || !std::isfinite(number)) b.fail(in, "a number out of range");
  b.place(in, Node{number, b.at(in)});
}
TOPAZWEIR_ON(ListOpen) { b.open(in, Node{Node::List{}, {}}); }
TOPAZWEIR_ON(ListClose) { b.close(in); }
TOPAZWEIR_ON(ObjectOpen) { b.open(in, Node{Node::Object{}, {}}); }
TOPAZWEIR_ON(ObjectClose) { b.close(in); }
TOPAZWEIR_ON(BlockOpen) { b.openBlock(in); }
TOPAZWEIR_ON(BlockClose) { b.closeBlock(in); }

#undef TOPAZWEIR_ON

}  // namespace

Node readHcl(std::string_view text, const std::string& file) {
  if (text.size() > kLargest) throw ConfigError(file + ": larger than 1 MiB");
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
