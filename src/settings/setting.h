#pragma once

#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "settings/setting_codec.h"

namespace jujubecove {

// The part of a setting that does not depend on its type. Values are passed as
// text.
class SettingBase {
 public:
  SettingBase(std::string section,
              std::string key,
              std::string unit,
              std::string doc)
      : section_(std::move(section)),
        key_(std::move(key)),
        unit_(std::move(unit)),
        doc_(std::move(doc)) {}
  virtual ~SettingBase() = default;

  // Type of the section: the first word of its heading.
  const std::string& section() const { return section_; }
  const std::string& key() const { return key_; }
  const std::string& unit() const { return unit_; }
  const std::string& doc() const { return doc_; }

  // Description of the accepted values for messages and documentation.
  virtual std::string Accepted() const = 0;
  virtual bool Accepts(const std::string& text) const = 0;
  // Returns the canonical text of an accepted value. Equal values have equal
  // canonical texts.
  virtual std::string Canonicalize(const std::string& text) const = 0;
  // The accepted texts of an enumeration or a bool; empty for other types.
  virtual std::vector<std::string> Choices() const = 0;
  // Nullopt for a required setting.
  virtual std::optional<std::string> DefaultText() const = 0;

 private:
  std::string section_;
  std::string key_;
  std::string unit_;
  std::string doc_;
};

// The declaration of a setting. `accepted` is the range of a number or of the
// length of a string, or the choices of an enumeration.
template <typename T>
struct SettingSpec {
  std::string section;
  std::string key;
  // Nullopt for a required setting.
  std::optional<T> default_value;
  std::string unit;
  typename SettingCodec<T>::Accepted accepted{};
  std::string doc;
};

// A setting of type T, which is bool, an integer type, double, Duration (in
// milliseconds), std::string, SocketAddress or an enumeration.
template <typename T>
class Setting : public SettingBase {
 public:
  // NOLINTNEXTLINE(google-explicit-constructor): allows brace initialization.
  Setting(SettingSpec<T> spec)
      : SettingBase(spec.section, spec.key, spec.unit, spec.doc),
        default_value_(std::move(spec.default_value)),
        accepted_(std::move(spec.accepted)) {}

  std::optional<T> Parse(const std::string& text) const {
    return SettingCodec<T>::Parse(text, accepted_);
  }
  std::string Format(const T& value) const {
    return SettingCodec<T>::Format(value, accepted_);
  }
  const std::optional<T>& default_value() const { return default_value_; }

  std::string Accepted() const override {
    std::string text = SettingCodec<T>::Describe(accepted_);
    return unit().empty() ? text : text + " " + unit();
  }
  bool Accepts(const std::string& text) const override {
    return Parse(text).has_value();
  }
  std::string Canonicalize(const std::string& text) const override {
    return Format(*Parse(text));
  }
  std::vector<std::string> Choices() const override {
    std::vector<std::string> names;
    if constexpr (std::is_same_v<T, bool>) {
      names = {"true", "false"};
    } else if constexpr (std::is_enum_v<T>) {
      for (const SettingChoice<T>& choice : accepted_)
        names.push_back(choice.name);
    }
    return names;
  }
  std::optional<std::string> DefaultText() const override {
    if (!default_value_)
      return std::nullopt;
    return Format(*default_value_);
  }

 private:
  std::optional<T> default_value_;
  typename SettingCodec<T>::Accepted accepted_;
};

}  // namespace jujubecove
