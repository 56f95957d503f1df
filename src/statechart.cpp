#include "statechart.h"

#include <boost/property_tree/ptree.hpp>
#include <boost/property_tree/xml_parser.hpp>

#include <algorithm>
#include <set>
#include <sstream>

namespace briarvane
{

namespace
{

using Tree = boost::property_tree::ptree;

/// The first fault found; the element is written as it begins in the file.
struct Fault
{
    std::string element;
    std::string what;
};

/// A state as written, before nesting is resolved.
struct Node
{
    std::string id;
    std::string parent;  // empty: top level
    bool final = false;
    bool compound = false;
    std::string initialChild;
    std::vector<std::size_t> onEntry;
    std::vector<std::size_t> onExit;

    struct Arrow
    {
        std::vector<std::size_t> events;
        std::optional<std::size_t> guard;
        std::string target;  // empty: stays without exit and entry
        std::vector<std::size_t> actions;
        std::string element;
    };
    std::vector<Arrow> arrows;
};

std::string describe(std::string_view tag, const Tree &tree)
{
    std::string text = "<" + std::string(tag);
    if (const auto attributes = tree.get_child_optional("<xmlattr>")) {
        for (const auto &[key, value] : *attributes) {
            text += " " + key + "=\"" + value.data() + "\"";
        }
    }
    return text + ">";
}

std::string attribute(const Tree &tree, const std::string &name)
{
    return tree.get<std::string>("<xmlattr>." + name, "");
}

std::vector<std::string> words(const std::string &text)
{
    std::istringstream stream(text);
    return {std::istream_iterator<std::string>(stream), std::istream_iterator<std::string>()};
}

std::string join(const std::vector<std::string_view> &names)
{
    std::string text;
    for (const std::string_view name : names) {
        text += text.empty() ? "" : ", ";
        text += name;
    }
    return text.empty() ? "none" : text;
}

class Reader
{
public:
    explicit Reader(const ChartNames &names)
        : m_names(names)
    {
    }

    std::optional<Fault> read(const Tree &document);
    std::optional<Fault> flatten(ChartTable &table);

private:
    std::optional<Fault> checkAttributes(std::string_view tag, const Tree &tree, const std::set<std::string> &accepted);
    std::optional<Fault> find(const std::string &element, const char *kind, const std::string &name,
                              const std::vector<std::string_view> &names, std::size_t &index);
    std::optional<Fault> readActions(std::string_view tag, const Tree &tree, std::vector<std::size_t> &actions);
    std::optional<Fault> readTransition(const Tree &tree, Node &node);
    std::optional<Fault> readState(std::string_view tag, const Tree &tree, const std::string &parent);
    std::optional<Fault> readInitial(const Tree &tree, std::string &target);
    std::optional<Fault> addTransitions(const Node &leaf, const Node &source, ChartState &state);
    std::optional<Fault> checkReachable(const ChartTable &table);
    Node *node(const std::string &id);
    const Node &leafOf(const Node &target);
    std::size_t stateIndex(const std::string &id) const;
    void enter(const Node &target, const std::string &insideParent, std::vector<std::size_t> &actions);

    const ChartNames &m_names;
    std::vector<Node> m_nodes;
    std::string m_initial;
};

std::optional<Fault> Reader::checkAttributes(std::string_view tag, const Tree &tree,
                                             const std::set<std::string> &accepted)
{
    const auto attributes = tree.get_child_optional("<xmlattr>");
    if (!attributes) {
        return std::nullopt;
    }
    for (const auto &[key, value] : *attributes) {
        if (!accepted.contains(key)) {
            return Fault{describe(tag, tree), "attribute " + key + " is not supported"};
        }
    }
    return std::nullopt;
}

std::optional<Fault> Reader::find(const std::string &element, const char *kind, const std::string &name,
                                  const std::vector<std::string_view> &names, std::size_t &index)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end()) {
        return Fault{element, "unknown " + std::string(kind) + " \"" + name + "\"; accepted: " + join(names)};
    }
    index = static_cast<std::size_t>(found - names.begin());
    return std::nullopt;
}

std::optional<Fault> Reader::readActions(std::string_view tag, const Tree &tree, std::vector<std::size_t> &actions)
{
    for (const auto &[child, content] : tree) {
        if (child == "<xmlattr>") {
            continue;
        }
        const std::string element = describe(child, content);
        if (child != "raise" && child != "send") {
            return Fault{element, "not accepted in <" + std::string(tag) + ">; accepted: raise, send"};
        }
        if (auto fault = checkAttributes(child, content, {"event"})) {
            return fault;
        }
        std::size_t index = 0;
        if (auto fault = find(element, "action", attribute(content, "event"), m_names.actions, index)) {
            return fault;
        }
        actions.push_back(index);
    }
    return std::nullopt;
}

std::optional<Fault> Reader::readTransition(const Tree &tree, Node &node)
{
    Node::Arrow arrow;
    arrow.element = describe("transition", tree) + " in state \"" + node.id + "\"";
    if (auto fault = checkAttributes("transition", tree, {"event", "cond", "target"})) {
        return fault;
    }
    const auto events = words(attribute(tree, "event"));
    if (events.empty()) {
        return Fault{arrow.element, "a transition needs an event"};
    }
    for (const std::string &event : events) {
        if (auto fault = find(arrow.element, "event", event, m_names.events, arrow.events.emplace_back())) {
            return fault;
        }
    }
    if (const std::string guard = attribute(tree, "cond"); !guard.empty()) {
        if (auto fault = find(arrow.element, "guard", guard, m_names.guards, arrow.guard.emplace())) {
            return fault;
        }
    }
    arrow.target = attribute(tree, "target");
    if (auto fault = readActions("transition", tree, arrow.actions)) {
        return fault;
    }
    node.arrows.push_back(std::move(arrow));
    return std::nullopt;
}

std::optional<Fault> Reader::readInitial(const Tree &tree, std::string &target)
{
    const auto transition = tree.get_child_optional("transition");
    if (tree.size() != 1 || !transition || attribute(*transition, "target").empty()) {
        return Fault{"<initial>", "takes one <transition> with a target"};
    }
    if (auto fault = checkAttributes("transition", *transition, {"target"})) {
        return fault;
    }
    target = attribute(*transition, "target");
    return std::nullopt;
}

std::optional<Fault> Reader::readState(std::string_view tag, const Tree &tree, const std::string &parent)
{
    const std::string element = describe(tag, tree);
    const bool final = tag == "final";
    if (auto fault
        = checkAttributes(tag, tree, final ? std::set<std::string>{"id"} : std::set<std::string>{"id", "initial"})) {
        return fault;
    }
    Node state;
    state.id = attribute(tree, "id");
    state.parent = parent;
    state.final = final;
    state.initialChild = attribute(tree, "initial");
    if (state.id.empty()) {
        return Fault{element, "a state needs an id"};
    }
    if (node(state.id) != nullptr) {
        return Fault{element, "duplicate id \"" + state.id + "\""};
    }
    const std::size_t position = m_nodes.size();
    m_nodes.push_back(state);  // before the children, so that their duplicates are found
    for (const auto &[child, content] : tree) {
        std::optional<Fault> fault;
        if (child == "<xmlattr>") {
            continue;
        }
        if (child == "onentry") {
            fault = readActions(child, content, state.onEntry);
        } else if (child == "onexit" && !final) {
            fault = readActions(child, content, state.onExit);
        } else if (child == "transition" && !final) {
            fault = readTransition(content, state);
        } else if (child == "initial" && !final && state.initialChild.empty()) {
            fault = readInitial(content, state.initialChild);
        } else if ((child == "state" || child == "final") && !final && parent.empty()) {
            state.compound = true;
            fault = readState(child, content, state.id);
        } else {
            fault = Fault{describe(child, content), "not accepted in " + element};
        }
        if (fault) {
            return fault;
        }
    }
    if (!state.compound && !state.initialChild.empty()) {
        return Fault{element, "a state without inner states has no initial state"};
    }
    if (state.compound && state.initialChild.empty()) {
        state.initialChild = m_nodes[position + 1].id;  // the first in document order, by the standard
    }
    m_nodes[position] = std::move(state);
    return std::nullopt;
}

std::optional<Fault> Reader::read(const Tree &document)
{
    const auto root = document.get_child_optional("scxml");
    if (!root || document.size() != 1) {
        return Fault{"document", "the root element must be <scxml>"};
    }
    const std::string element = describe("scxml", *root);
    if (auto fault = checkAttributes("scxml", *root, {"xmlns", "version", "name", "initial"})) {
        return fault;
    }
    if (attribute(*root, "xmlns") != "http://www.w3.org/2005/07/scxml" || attribute(*root, "version") != "1.0") {
        return Fault{element, "xmlns must be http://www.w3.org/2005/07/scxml and version 1.0"};
    }
    for (const auto &[child, content] : *root) {
        if (child == "<xmlattr>") {
            continue;
        }
        if (child != "state" && child != "final") {
            return Fault{describe(child, content), "not accepted in <scxml>; accepted: state, final"};
        }
        if (auto fault = readState(child, content, "")) {
            return fault;
        }
    }
    if (m_nodes.empty()) {
        return Fault{element, "the chart has no state"};
    }
    m_initial = attribute(*root, "initial");
    if (m_initial.empty()) {
        m_initial = m_nodes.front().id;
    }
    if (node(m_initial) == nullptr) {
        return Fault{element, "unknown state \"" + m_initial + "\""};
    }
    for (const Node &state : m_nodes) {
        const std::string tag = "<state id=\"" + state.id + "\">";
        const Node *child = state.compound ? node(state.initialChild) : nullptr;
        if (state.compound && (child == nullptr || child->parent != state.id)) {
            return Fault{tag, "its initial state \"" + state.initialChild + "\" is not one of its inner states"};
        }
        const bool named = std::find(m_names.states.begin(), m_names.states.end(), state.id) != m_names.states.end();
        if (!state.compound && !named) {
            return Fault{tag, "unknown state \"" + state.id + "\"; accepted: " + join(m_names.states)};
        }
        if (state.compound && named) {
            return Fault{tag, "\"" + state.id + "\" must not have inner states"};
        }
    }
    for (const std::string_view name : m_names.states) {
        if (node(std::string(name)) == nullptr) {
            return Fault{element, "state \"" + std::string(name) + "\" is missing"};
        }
    }
    return std::nullopt;
}

Node *Reader::node(const std::string &id)
{
    const auto found = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const Node &state) { return state.id == id; });
    return found == m_nodes.end() ? nullptr : &*found;
}

const Node &Reader::leafOf(const Node &target)
{
    return target.compound ? *node(target.initialChild) : target;
}

std::size_t Reader::stateIndex(const std::string &id) const
{
    const auto found = std::find(m_names.states.begin(), m_names.states.end(), id);
    return static_cast<std::size_t>(found - m_names.states.begin());
}

/// Appends the entry actions from the outside in. `insideParent` is the parent that is not left.
void Reader::enter(const Node &target, const std::string &insideParent, std::vector<std::size_t> &actions)
{
    const Node &leaf = leafOf(target);
    if (!leaf.parent.empty() && leaf.parent != insideParent) {
        const Node &parent = *node(leaf.parent);
        actions.insert(actions.end(), parent.onEntry.begin(), parent.onEntry.end());
    }
    actions.insert(actions.end(), leaf.onEntry.begin(), leaf.onEntry.end());
}

/// Adds the transitions that `source` (the leaf itself or its parent) defines.
std::optional<Fault> Reader::addTransitions(const Node &leaf, const Node &source, ChartState &state)
{
    std::set<std::size_t> unconditional;  // a later transition of the same element could never be taken
    for (const Node::Arrow &arrow : source.arrows) {
        const Node *target = arrow.target.empty() ? &leaf : node(arrow.target);
        if (target == nullptr) {
            return Fault{arrow.element, "unknown state \"" + arrow.target + "\""};
        }
        ChartTransition transition;
        transition.guard = arrow.guard;
        transition.target = stateIndex(leafOf(*target).id);
        // By the standard, the parent is left unless source and target are both inside it.
        const bool staysInside = !leaf.parent.empty() && source.id == leaf.id && target->parent == leaf.parent;
        if (!arrow.target.empty()) {
            transition.actions = leaf.onExit;
            if (!leaf.parent.empty() && !staysInside) {
                const Node &parent = *node(leaf.parent);
                transition.actions.insert(transition.actions.end(), parent.onExit.begin(), parent.onExit.end());
            }
        }
        transition.actions.insert(transition.actions.end(), arrow.actions.begin(), arrow.actions.end());
        if (!arrow.target.empty()) {
            enter(*target, staysInside ? leaf.parent : "", transition.actions);
        }
        for (const std::size_t event : arrow.events) {
            if (unconditional.contains(event)) {
                return Fault{arrow.element,
                             "never taken: an earlier transition takes " + std::string(m_names.events[event])};
            }
            if (!arrow.guard) {
                unconditional.insert(event);
            }
            transition.event = event;
            state.transitions.push_back(transition);
        }
    }
    return std::nullopt;
}

std::optional<Fault> Reader::checkReachable(const ChartTable &table)
{
    std::set<std::size_t> reached = {table.initial};
    std::vector<std::size_t> open = {table.initial};
    while (!open.empty()) {
        const std::size_t from = open.back();
        open.pop_back();
        std::set<std::size_t> taken;  // events that an earlier transition takes unconditionally
        for (const ChartTransition &transition : table.states[from].transitions) {
            if (taken.contains(transition.event)) {
                continue;
            }
            if (!transition.guard) {
                taken.insert(transition.event);
            }
            if (reached.insert(transition.target).second) {
                open.push_back(transition.target);
            }
        }
    }
    for (std::size_t state = 0; state < table.states.size(); ++state) {
        if (!reached.contains(state)) {
            const std::string tag = table.states[state].final ? "final" : "state";
            return Fault{"<" + tag + " id=\"" + std::string(m_names.states[state]) + "\">", "the state is unreachable"};
        }
    }
    return std::nullopt;
}

std::optional<Fault> Reader::flatten(ChartTable &table)
{
    table.states.resize(m_names.states.size());
    for (const Node &leaf : m_nodes) {
        if (leaf.compound) {
            continue;
        }
        ChartState &state = table.states[stateIndex(leaf.id)];
        state.final = leaf.final;
        if (auto fault = addTransitions(leaf, leaf, state)) {
            return fault;
        }
        if (!leaf.parent.empty()) {
            if (auto fault = addTransitions(leaf, *node(leaf.parent), state)) {
                return fault;
            }
        }
    }
    table.initial = stateIndex(leafOf(*node(m_initial)).id);
    enter(*node(m_initial), "", table.initialActions);
    return checkReachable(table);
}

}

Result<ChartTable> readChart(std::string_view file, std::string_view text, const ChartNames &names)
{
    Tree document;
    std::istringstream stream{std::string(text)};
    try {
        using namespace boost::property_tree::xml_parser;
        read_xml(stream, document, no_comments | trim_whitespace);
    } catch (const boost::property_tree::xml_parser_error &error) {
        return Error{ErrorCode::Invalid,
                     std::string(file) + ": line " + std::to_string(error.line()) + ": " + error.message()};
    }
    Reader reader(names);
    ChartTable table;
    auto fault = reader.read(document);
    if (!fault) {
        fault = reader.flatten(table);
    }
    if (fault) {
        return Error{ErrorCode::Invalid, std::string(file) + ": " + fault->element + ": " + fault->what};
    }
    return table;
}

}
