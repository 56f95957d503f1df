#include "plan.h"

namespace briarvane
{

const Queue *Plan::queueFor(std::string_view host, std::string_view path) const
{
    const Queue *best = nullptr;
    for (const Queue &queue : queues) {
        if (queue.host == host && path.starts_with(queue.prefix)
            && (best == nullptr || queue.prefix.size() > best->prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

}
