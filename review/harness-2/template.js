/** Fills a template of the settings by the rules of the platform: values, sections, and sections for what is missing. */

/** Renders `template` with `fields`. */
export function renderTemplate(template, fields) {
	const withSections = template.replaceAll(/\{\{([#^])([^{}]+)\}\}([\s\S]*?)\{\{\/\2\}\}/gu, (_, kind, name, content) => {
		const value = findValue(fields, name);
		const isPresent = value !== undefined && value !== false;
		return isPresent === (kind === '#') ? content : '';
	});
	return withSections.replaceAll(/\{\{([^{}|]+)(\|json)?\}\}/gu, (_, name, isJson) => {
		const value = findValue(fields, name);
		if (isJson !== undefined || (typeof value === 'object' && !Array.isArray(value))) {
			return JSON.stringify(value);
		}

		return value === undefined ? '' : String(value);
	});
}

function findValue(fields, name) {
	let value = fields;
	for (const key of name.split('.')) {
		value = value?.[key];
	}

	return value;
}
