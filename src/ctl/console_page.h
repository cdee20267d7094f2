#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "ctl/console_form.h"
#include "document/document_text.h"

namespace jujubecove {

// The contents of the page. RenderPage escapes all texts.
struct ConsolePage {
  std::vector<FormSection> form;
  std::vector<FormFault> faults;
  // CSRF token: proves to the server that a request comes from this page.
  std::string token;
  // What `changes` are relative to, such as "the file".
  std::string compared_with;
  std::vector<DocumentChange> changes;
  // The canonical document for download; empty if there are faults.
  std::string document;
  // A message for the operator; may be empty.
  std::string notice;
  // Whether the page shows `changes` and the download button.
  bool review = false;
};

std::string EscapeHtml(std::string_view text);
std::string RenderPage(const ConsolePage& page);
// Renders a page with a heading and preformatted text, such as an error.
std::string RenderMessage(const std::string& heading, const std::string& text);
std::string StyleSheet();

}  // namespace jujubecove
