#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "ctl/console_form.h"
#include "document/document_text.h"

namespace jujubecove {

// What the page shows. All texts are escaped when the page is made.
struct ConsolePage {
  std::vector<FormSection> form;
  std::vector<FormFault> faults;
  // Proves to the server that a request comes from this page.
  std::string token;
  // What the differences are relative to, such as "the file".
  std::string compared_with;
  std::vector<DocumentChange> changes;
  // The canonical document, to download; empty if there are faults.
  std::string document;
  // Says what happened or what to look out for; may be empty.
  std::string notice;
  // Whether the review of the document is part of the page.
  bool review = false;
};

std::string EscapeHtml(std::string_view text);
std::string RenderPage(const ConsolePage& page);
// A page with a heading and preformatted text, such as an outcome or an error.
std::string RenderMessage(const std::string& heading, const std::string& text);
std::string StyleSheet();

}  // namespace jujubecove
