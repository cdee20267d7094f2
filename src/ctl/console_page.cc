#include "ctl/console_page.h"

#include <algorithm>

#include "document/document_parser.h"

namespace jujubecove {
namespace {

std::string Attribute(const std::string& name, const std::string& value) {
  return " " + name + "=\"" + EscapeHtml(value) + "\"";
}

std::string Head(const std::string& title) {
  return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
         "<meta name=\"viewport\" content=\"width=device-width\">"
         "<title>" +
         EscapeHtml(title) +
         "</title><link rel=\"stylesheet\" href=\"/style.css\"></head>"
         "<body><main>\n<h1>" +
         EscapeHtml(title) + "</h1>\n";
}

std::string Hidden(const std::string& name, const std::string& value) {
  return "<input type=\"hidden\"" + Attribute("name", name) +
         Attribute("value", value) + ">\n";
}

std::string Button(const std::string& action, const std::string& label) {
  return "<button type=\"submit\" name=\"do\"" + Attribute("value", action) +
         ">" + EscapeHtml(label) + "</button>\n";
}

// A fault of a key that has no field is shown at the section's name.
bool IsShownAtField(const FormFault& fault,
                    const SettingSection& schema,
                    std::size_t section,
                    const std::string& key) {
  if (fault.section != static_cast<int>(section))
    return false;
  if (fault.key == key)
    return true;
  return key.empty() &&
         std::none_of(schema.settings.begin(), schema.settings.end(),
                      [&fault](const SettingBase* it) {
                        return it->key() == fault.key;
                      });
}

const SettingSection& SchemaOf(const std::string& type) {
  const SettingsSchema& schema = DocumentSchema();
  return *std::find_if(
      schema.begin(), schema.end(),
      [&type](const SettingSection& it) { return it.type == type; });
}

// A labelled input with its hint and its faults.
struct Field {
  std::string id;
  std::string label;
  std::string value;
  std::string hint;
  std::vector<std::string> choices;
  // Label of the empty choice, which stands for the default.
  std::string default_label;
  std::vector<std::string> faults;
  bool required = false;
};

std::string Option(const std::string& value,
                   const std::string& label,
                   bool selected) {
  return "<option" + Attribute("value", value) + (selected ? " selected" : "") +
         ">" + EscapeHtml(label) + "</option>";
}

std::string Select(const Field& field, const std::string& attributes) {
  std::string html = "<select" + attributes + ">" +
                     Option("", field.default_label, field.value.empty());
  for (const std::string& it : field.choices)
    html += Option(it, it, it == field.value);
  // Keeps a value that isn't accepted, so that the operator sees what is wrong.
  bool known = field.value.empty() ||
               std::find(field.choices.begin(), field.choices.end(),
                         field.value) != field.choices.end();
  if (!known)
    html += Option(field.value, field.value, true);
  return html + "</select>\n";
}

std::string RenderField(const Field& field) {
  std::string description_ids = field.id + "-hint";
  std::string errors;
  if (!field.faults.empty()) {
    description_ids += " " + field.id + "-error";
    for (const std::string& it : field.faults)
      errors += "<span>Error: " + EscapeHtml(it) + "</span> ";
    errors = "<p class=\"error\"" + Attribute("id", field.id + "-error") + ">" +
             errors + "</p>\n";
  }
  std::string attributes =
      Attribute("id", field.id) + Attribute("name", field.id) +
      Attribute("aria-describedby", description_ids) +
      (field.faults.empty() ? "" : " aria-invalid=\"true\"") +
      (field.required ? " aria-required=\"true\"" : "");
  std::string input = field.choices.empty()
                          ? "<input type=\"text\" autocomplete=\"off\"" +
                                attributes + Attribute("value", field.value) +
                                ">\n"
                          : Select(field, attributes);
  return "<div class=\"field\"><label" + Attribute("for", field.id) + ">" +
         EscapeHtml(field.label) + "</label>\n" + input + "<p class=\"hint\"" +
         Attribute("id", field.id + "-hint") + ">" + EscapeHtml(field.hint) +
         "</p>\n" + errors + "</div>\n";
}

std::vector<std::string> FaultsOf(const ConsolePage& page,
                                  std::size_t section,
                                  const std::string& key) {
  std::vector<std::string> texts;
  const SettingSection& schema = SchemaOf(page.form[section].type);
  for (const FormFault& it : page.faults) {
    if (IsShownAtField(it, schema, section, key))
      texts.push_back(it.key == key ? it.message : it.key + ": " + it.message);
  }
  return texts;
}

Field SettingField(const ConsolePage& page,
                   std::size_t section,
                   const SettingBase& setting) {
  Field field;
  field.id = FieldName(section, setting.key());
  field.label = setting.key() +
                (setting.unit().empty() ? "" : " (" + setting.unit() + ")");
  const std::map<std::string, std::string>& values = page.form[section].values;
  auto value = values.find(setting.key());
  field.value = value == values.end() ? "" : value->second;
  std::optional<std::string> default_text = setting.DefaultText();
  field.required = !default_text.has_value();
  field.default_label = "not given";
  field.hint = setting.doc() + " Accepted: " + setting.Accepted() + ".";
  if (field.required)
    field.hint += " Required.";
  else if (!default_text->empty()) {
    field.default_label += " (default " + *default_text + ")";
    field.hint += " Default: " + *default_text + ".";
  }
  field.choices = setting.Choices();
  field.faults = FaultsOf(page, section, setting.key());
  return field;
}

std::string RenderSection(const ConsolePage& page, std::size_t section) {
  const FormSection& entered = page.form[section];
  std::string title =
      entered.type + " " + (entered.name.empty() ? "(new)" : entered.name);
  std::string html = "<fieldset><legend>" + EscapeHtml(title) + "</legend>\n" +
                     Hidden(FieldName(section, ":type"), entered.type);
  Field name;
  name.id = FieldName(section, "");
  name.label = "name";
  name.value = entered.name;
  name.hint = "Accepted: 1 to 64 letters, digits, '-', '_' and '.'.";
  name.faults = FaultsOf(page, section, "");
  name.required = true;
  html += RenderField(name);
  for (const SettingBase* it : SchemaOf(entered.type).settings)
    html += RenderField(SettingField(page, section, *it));
  return html + Button("remove:" + std::to_string(section), "Remove " + title) +
         "</fieldset>\n";
}

// The id of the field that shows the fault; empty for a fault of the whole
// document.
std::string FieldIdOf(const ConsolePage& page, const FormFault& fault) {
  if (fault.section < 0)
    return "";
  auto section = static_cast<std::size_t>(fault.section);
  const SettingSection& schema = SchemaOf(page.form[section].type);
  return FieldName(section,
                   IsShownAtField(fault, schema, section, "") ? "" : fault.key);
}

std::string RenderFaults(const ConsolePage& page) {
  if (page.faults.empty())
    return "";
  std::string html =
      "<section class=\"summary\" role=\"alert\" "
      "aria-labelledby=\"faults\"><h2 id=\"faults\">" +
      std::to_string(page.faults.size()) + " to correct</h2>\n<ul>\n";
  for (const FormFault& it : page.faults) {
    std::string id = FieldIdOf(page, it);
    if (id.empty()) {
      html += "<li>" + EscapeHtml(it.message) + "</li>\n";
      continue;
    }
    const FormSection& section =
        page.form[static_cast<std::size_t>(it.section)];
    html += "<li><a" + Attribute("href", "#" + id) + ">" +
            EscapeHtml(section.type + " " + section.name + ", " +
                       (it.key.empty() ? "name" : it.key) + ": " + it.message) +
            "</a></li>\n";
  }
  return html + "</ul></section>\n";
}

std::string RenderChange(const DocumentChange& change) {
  std::string place = "[" + change.section + "] " + change.key;
  std::string verb = change.type == DocumentChange::Type::kAdded ? "added "
                     : change.type == DocumentChange::Type::kRemoved
                         ? "removed "
                         : "changed ";
  std::string values =
      change.key.empty() ? ""
                         : ": " + change.old_value + " -> " + change.new_value;
  return "<li>" + EscapeHtml(verb + place + values) + "</li>\n";
}

std::string RenderReview(const ConsolePage& page) {
  if (!page.review || page.document.empty())
    return "";
  std::string html =
      "<section aria-labelledby=\"review\"><h2 id=\"review\">Difference from " +
      EscapeHtml(page.compared_with) + "</h2>\n";
  if (page.changes.empty())
    html += "<p>None.</p>\n";
  std::string rows;
  for (const DocumentChange& it : page.changes)
    rows += RenderChange(it);
  if (!rows.empty())
    html += "<ul>\n" + rows + "</ul>\n";
  html += "<form method=\"post\" action=\"/submit\">\n" +
          Hidden("token", page.token) + Hidden("document", page.document) +
          Button("download", "Download the document");
  return html + "</form></section>\n";
}

}  // namespace

std::string EscapeHtml(std::string_view text) {
  std::string out;
  for (char c : text) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      case '\'':
        out += "&#39;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

std::string RenderPage(const ConsolePage& page) {
  std::string html = Head("Operators' document");
  if (!page.notice.empty())
    html += "<p role=\"status\">" + EscapeHtml(page.notice) + "</p>\n";
  html += RenderFaults(page) + RenderReview(page);
  // The Enter key activates the first button.
  html += "<form method=\"post\" action=\"/edit\">\n" +
          Hidden("token", page.token) +
          Button("review", "Check and show the difference") +
          Button("add-kind", "Add a kind") +
          Button("add-service", "Add a service");
  for (std::size_t n = 0; n < page.form.size(); ++n)
    html += RenderSection(page, n);
  return html + Button("review", "Check and show the difference") +
         "</form>\n</main></body></html>\n";
}

std::string RenderMessage(const std::string& heading, const std::string& text) {
  return Head(heading) + "<pre role=\"status\">" + EscapeHtml(text) +
         "</pre>\n<p><a href=\"/\">Load the form again</a></p>\n"
         "</main></body></html>\n";
}

std::string StyleSheet() {
  return "body{font:1rem/1.5 sans-serif;color:#111;background:#fff}"
         "main{max-width:60rem;margin:0 auto;padding:1rem}"
         "fieldset{margin:1rem 0;border:1px solid #555}"
         "legend{font-weight:bold}label{display:block;font-weight:bold}"
         "input,select,button{font:inherit;padding:.25rem .5rem}"
         "a:focus,input:focus,select:focus,button:focus{outline:3px solid "
         "#0b57d0;outline-offset:2px}"
         ".hint{margin:0;color:#444}.error{margin:0;color:#a00000;"
         "font-weight:bold}[aria-invalid]{border:2px solid #a00000}"
         ".summary{border:3px solid #a00000;padding:0 1rem}"
         "pre{white-space:pre-wrap}";
}

}  // namespace jujubecove
