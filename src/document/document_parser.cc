#include "document/document_parser.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "document/document_settings.h"
#include "document/document_text.h"
#include "settings/ini_file.h"
#include "settings/setting_codec.h"
#include "settings/settings.h"

namespace jujubecove {

const SettingsSchema& DocumentSchema() {
  const KindSettings& kind = DeclaredKindSettings();
  const ServiceSettings& service = DeclaredServiceSettings();
  static const SettingsSchema kSchema = {
      {"kind",
       true,
       {&kind.service, &kind.urgency, &kind.deadline, &kind.least_coverage,
        &kind.partial, &kind.snapshot, &kind.idempotent, &kind.hedge,
        &kind.addressing, &kind.merge, &kind.merge_key, &kind.merge_order,
        &kind.merge_limit},
       "One kind of request."},
      {"service",
       true,
       {&service.shards, &service.replicas, &service.slots,
        &service.connections, &service.connect_cost, &service.expected_latency},
       "One service of searchers."}};
  return kSchema;
}

namespace {

KindSpec ReadKind(const Settings& settings, const std::string& name) {
  const KindSettings& keys = DeclaredKindSettings();
  KindSpec kind;
  kind.name = KindName(name);
  kind.service = ServiceName(settings.Get(keys.service, name));
  kind.urgency = settings.Get(keys.urgency, name);
  kind.deadline = settings.Get(keys.deadline, name);
  kind.least_coverage = settings.Get(keys.least_coverage, name);
  kind.partial = settings.Get(keys.partial, name);
  kind.snapshot = settings.Get(keys.snapshot, name);
  kind.idempotent = settings.Get(keys.idempotent, name);
  kind.hedge = settings.IsGiven(keys.hedge, name)
                   ? settings.Get(keys.hedge, name)
                   : kind.idempotent;
  kind.addressing = settings.Get(keys.addressing, name);
  kind.merge = settings.Get(keys.merge, name);
  kind.merge_key = settings.Get(keys.merge_key, name);
  kind.descending =
      settings.Get(keys.merge_order, name) == MergeOrder::kDescending;
  kind.merge_limit = settings.Get(keys.merge_limit, name);
  return kind;
}

ServiceSpec ReadService(const Settings& settings, const std::string& name) {
  const ServiceSettings& keys = DeclaredServiceSettings();
  ServiceSpec service;
  service.name = ServiceName(name);
  service.shards = settings.Get(keys.shards, name);
  service.replicas = settings.Get(keys.replicas, name);
  service.slots = settings.Get(keys.slots, name);
  service.connections = settings.Get(keys.connections, name);
  service.connect_cost = settings.Get(keys.connect_cost, name);
  service.expected_latency = settings.Get(keys.expected_latency, name);
  return service;
}

// Finds contradictions between the keys of one kind.
class KindValidator {
 public:
  KindValidator(const Settings& settings,
                const Document& document,
                const KindSpec& kind,
                std::vector<SettingFault>& faults)
      : settings_(settings), document_(document), kind_(kind), faults_(faults) {
    CheckIdempotence();
    CheckCoverage();
    CheckMerge();
    CheckService();
  }

 private:
  void AddFault(const SettingBase& setting, std::string message) {
    faults_.push_back(
        settings_.FaultAt(setting, kind_.name.value(), std::move(message)));
  }

  void CheckIdempotence() {
    if (kind_.idempotent)
      return;
    if (kind_.hedge)
      AddFault(
          keys_.hedge,
          "a kind with idempotent = false can't hedge; accepted: hedge = false "
          "or idempotent = true");
    if (kind_.addressing == Addressing::kAllShards)
      AddFault(keys_.addressing,
               "a kind with idempotent = false must address one shard; "
               "accepted: addressing = one_key");
    if (kind_.partial)
      AddFault(keys_.partial,
               "a kind with idempotent = false can't have partial answers; "
               "accepted: partial = false");
    if (kind_.snapshot)
      AddFault(
          keys_.snapshot,
          "a snapshot may have to be read again, which idempotent = false does "
          "not allow; accepted: snapshot = false");
  }

  void CheckCoverage() {
    if (kind_.addressing == Addressing::kOneKey) {
      if (kind_.partial || kind_.least_coverage < 1.0)
        AddFault(kind_.partial ? static_cast<const SettingBase&>(keys_.partial)
                               : keys_.least_coverage,
                 "a kind with addressing = one_key has one shard to cover; "
                 "accepted: partial = false, least_coverage = 1");
      return;
    }
    if (kind_.partial && kind_.least_coverage >= 1.0)
      AddFault(keys_.partial,
               "no answer is partial with least_coverage = 1; accepted: a "
               "least_coverage below 1, or partial = false");
    if (!kind_.partial && kind_.least_coverage < 1.0)
      AddFault(
          keys_.least_coverage,
          "a value below 1 permits partial answers; accepted: partial = true, "
          "or least_coverage = 1");
    if (kind_.snapshot && kind_.least_coverage <= 0.0)
      AddFault(
          keys_.least_coverage,
          "an answer that covers no shard is not a snapshot; accepted: above 0 "
          "with snapshot = true");
  }

  void CheckMerge() {
    const std::string& name = kind_.name.value();
    if (kind_.merge == MergeRule::kFirstK) {
      if (kind_.merge_key.empty())
        AddFault(
            keys_.merge_key,
            "merge = first_k needs a field to sort by; accepted: the name of a "
            "field");
      if (kind_.merge_limit == 0)
        AddFault(
            keys_.merge_limit,
            "merge = first_k needs the number of records to keep; accepted: an "
            "integer from 1 to 100000");
      return;
    }
    const SettingBase* unused[] = {&keys_.merge_key, &keys_.merge_order,
                                   &keys_.merge_limit};
    for (const SettingBase* setting : unused) {
      if (settings_.IsGiven(*setting, name))
        AddFault(*setting,
                 "has no effect with merge = concatenate; accepted: merge = "
                 "first_k, or no " +
                     setting->key());
    }
  }

  void CheckService() {
    auto it = document_.services.find(kind_.service);
    if (it == document_.services.end()) {
      if (!kind_.service.value().empty())
        AddFault(keys_.service, "unknown service \"" + kind_.service.value() +
                                    "\"; accepted:" + ListServices());
      return;
    }
    const ServiceSpec& service = it->second;
    if (kind_.deadline <= service.expected_latency)
      AddFault(keys_.deadline,
               "can't be met: expected_latency of service " +
                   service.name.value() + " is " +
                   FormatNumber(ToMilliseconds(service.expected_latency)) +
                   " ms; accepted: more than that");
    if (kind_.addressing == Addressing::kAllShards)
      CheckWholeShards(service);
  }

  // Rejects a coverage that is not a whole number of shards, since it would
  // silently be rounded up.
  void CheckWholeShards(const ServiceSpec& service) {
    constexpr double kTolerance = 1e-6;
    if (service.shards == 0)
      return;
    double shards = kind_.least_coverage * service.shards;
    if (std::abs(shards - std::round(shards)) < kTolerance)
      return;
    double below = std::floor(shards) / service.shards;
    double above = std::ceil(shards) / service.shards;
    AddFault(keys_.least_coverage,
             "is not a whole number of the " + std::to_string(service.shards) +
                 " shards of service " + service.name.value() +
                 "; the nearest accepted values are " + FormatNumber(below) +
                 " and " + FormatNumber(above));
  }

  std::string ListServices() const {
    std::string text;
    for (const auto& [name, service] : document_.services)
      text += " " + name.value();
    return text.empty() ? " a service that the document declares" : text;
  }

  const KindSettings& keys_ = DeclaredKindSettings();
  const Settings& settings_;
  const Document& document_;
  const KindSpec& kind_;
  std::vector<SettingFault>& faults_;
};

SettingFault SizeFault(const std::string& file, std::size_t size) {
  return SettingFault{file, 0, "", "",
                      "the document has " + std::to_string(size) +
                          " bytes; accepted: at most " +
                          std::to_string(kMaxDocumentBytes)};
}

}  // namespace

ParsedDocument ParseDocument(const std::string& text, const std::string& file) {
  ParsedDocument parsed;
  if (text.size() > kMaxDocumentBytes) {
    parsed.faults.push_back(SizeFault(file, text.size()));
    return parsed;
  }
  IniFile ini = IniFile::Parse(file, text, parsed.faults);
  Settings settings = Settings::Load(DocumentSchema(), ini, {}, parsed.faults);
  Document& document = parsed.document;
  for (const std::string& name : settings.NamesOf("service"))
    document.services.emplace(ServiceName(name), ReadService(settings, name));
  for (const std::string& name : settings.NamesOf("kind"))
    document.kinds.emplace(KindName(name), ReadKind(settings, name));
  for (const auto& [name, kind] : document.kinds)
    KindValidator(settings, document, kind, parsed.faults);
  if (document.kinds.empty())
    parsed.faults.push_back(SettingFault{
        file, 0, "", "",
        "the document declares no kind; accepted: at least one [kind NAME]"});
  // The canonical text has every default written out, so it can be larger.
  std::size_t size = CanonicalText(document).size();
  if (parsed.ok() && size > kMaxDocumentBytes)
    parsed.faults.push_back(SizeFault(file + " in canonical form", size));
  std::stable_sort(parsed.faults.begin(), parsed.faults.end(),
                   [](const SettingFault& left, const SettingFault& right) {
                     return left.line < right.line;
                   });
  return parsed;
}

std::string DescribeDocument() {
  return DescribeSchema(DocumentSchema());
}

}  // namespace jujubecove
