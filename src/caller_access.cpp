#include "caller_access.h"

namespace briarvane
{

CallerAccess decideAccess(const DeploymentConfig &config, const Queue &queue, const std::string *accessKey)
{
    if (config.workspaces.empty()) {
        return {};
    }
    const Workspace *workspace = accessKey == nullptr ? nullptr : config.workspaceWithKey(*accessKey);
    if (workspace != nullptr) {
        return {AccessOutcome::Allowed, {false, workspace->name}};
    }
    if (queue.isPublic) {
        return {AccessOutcome::Allowed, {false, {}}};
    }
    return {accessKey == nullptr ? AccessOutcome::NoKey : AccessOutcome::UnknownKey, {false, {}}};
}

}
