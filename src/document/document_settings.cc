#include "document/document_settings.h"

namespace jujubecove {

const KindSettings& DeclaredKindSettings() {
  static const KindSettings kSettings;
  return kSettings;
}

const ServiceSettings& DeclaredServiceSettings() {
  static const ServiceSettings kSettings;
  return kSettings;
}

}  // namespace jujubecove
