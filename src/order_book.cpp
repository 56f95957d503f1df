#include "order_book.h"

namespace briarvane
{

const std::string &FleetOrder::instance() const
{
    return std::visit([](const auto &order) -> const std::string & { return order.instance; }, request);
}

const std::string &FleetOrder::executor() const
{
    return std::visit([](const auto &order) -> const std::string & { return order.executor; }, request);
}

OrderBook::OrderBook(OrderBookSettings settings)
    : m_settings(settings)
{
}

std::size_t OrderBook::room() const
{
    return m_settings.maxQueued - std::min(m_settings.maxQueued, m_queue.size());
}

void OrderBook::add(FleetOrder order)
{
    if (room() > 0 && m_pending.try_emplace(order.instance(), order.executor()).second) {
        m_queue.push_back(std::move(order));
    }
}

std::vector<FleetOrder> OrderBook::takeDue()
{
    std::vector<FleetOrder> due;
    while (!m_queue.empty() && m_open.size() < m_settings.maxOpen) {
        m_open.insert(m_queue.front().instance());
        due.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    return due;
}

OrderResult OrderBook::answered(const FleetOrder &order, OrderResult result)
{
    m_open.erase(order.instance());
    m_pending.erase(order.instance());
    if (result == OrderResult::Unknown) {
        m_unsettled[order.instance()] = order.executor();
    } else if (result != OrderResult::Refused) {
        m_unsettled.erase(order.instance());
    } else if (m_unsettled.contains(order.instance())) {
        return OrderResult::Unknown;
    }
    return result;
}

void OrderBook::setInstances(const std::vector<PooledInstance> &instances)
{
    std::map<std::string, std::string> kept;
    for (const PooledInstance &instance : instances) {
        const auto order = m_unsettled.find(instance.id);
        if (order != m_unsettled.end() && order->second == instance.executor) {
            kept.insert(*order);
        }
    }
    m_unsettled = std::move(kept);
}

std::set<std::string> OrderBook::executors() const
{
    std::set<std::string> executors;
    for (const auto *orders : {&m_pending, &m_unsettled}) {
        for (const auto &[instance, executor] : *orders) {
            if (!executor.empty()) {
                executors.insert(executor);
            }
        }
    }
    return executors;
}

}
