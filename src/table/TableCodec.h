/// JSON bodies of the table service's HTTP interface.
#pragma once

#include "core/Verdict.h"
#include "table/TableTypes.h"

#include <string>

namespace lacewing::table {

std::string
EncodeCommit(const Commit& aCommit);
std::string
EncodeRead(const Read& aRead);
std::string
EncodeCommitResult(const CommitResult& aResult);
std::string
EncodeReadResult(const ReadResult& aResult);

/// Errors of all decoders: `BadInput` with what is wrong in the body.
Result<Commit>
DecodeCommit(const std::string& aBody);
Result<Read>
DecodeRead(const std::string& aBody);
Result<CommitResult>
DecodeCommitResult(const std::string& aBody);
Result<ReadResult>
DecodeReadResult(const std::string& aBody);

} // namespace lacewing::table
